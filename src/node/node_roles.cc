#include "cornelhill/node/node_roles.h"

namespace cornelhill {

Result<PlatformFormats> FindFormats(const std::string& platform) {
  const SegmentFormat* segment = SegmentFormatRegistry::Global().Find(platform);
  const ListenerFormat* listener =
      ListenerFormatRegistry::Global().Find(platform);
  const ApiFormat* api = ApiFormatRegistry::Global().Find(platform);
  if (segment == nullptr || listener == nullptr || api == nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                "platform \"" + platform + "\" is not built in");
  }
  return PlatformFormats{*segment, *listener, *api};
}

Result<void> RunNode(const NodeSettings& settings) {
  BOOST_OUTCOME_TRY(formats, FindFormats(settings.platform));
  switch (settings.role) {
    case NodeRole::kEntry:
      return RunEntry(settings, formats);
    case NodeRole::kSidecar:
      return RunSidecar(settings, formats);
    case NodeRole::kCore:
      return RunCore(settings, formats);
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown role");
}

}  // namespace cornelhill
