#include "tools/soak/settings_template.h"

#include <criterion/criterion.h>

namespace cornelhill::soak {
namespace {

Test(settings_template, fills_fields_items_and_json) {
  const nlohmann::json values = {
      {"name", "a\"b"}, {"list", {7, 8}}, {"inner", {{"flag", true}}}};
  cr_assert_eq(
      FillTemplate("{{name}} {{name|json}} {{list.1}} {{inner.flag}}!", values)
          .value(),
      "a\"b \"a\\\"b\" 8 true!");
  cr_assert_eq(FillTemplate("nothing", values).value(), "nothing");
  cr_assert_not(FillTemplate("{{missing}}", values).has_value());
}

}  // namespace
}  // namespace cornelhill::soak
