#include "cornelhill/turn/explain_decision.h"

#include <string_view>

namespace cornelhill {

namespace {

std::string Plural(uint64_t count, std::string_view noun) {
  std::string text = std::to_string(count) + " " + std::string(noun);
  if (count != 1) text += "s";
  return text;
}

std::string_view Name(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kShort:
      return "short work";
    case WorkClass::kLong:
      return "long work";
    case WorkClass::kStraggler:
      return "work that runs much longer than the rest";
  }
  return "";
}

std::string_view ReasonClause(PrecedenceRule rule) {
  switch (rule) {
    case PrecedenceRule::kArrivedFirst:
      return "because it arrived earlier";
    case PrecedenceRule::kFairShare:
      return "because its caller had used less of its fair share";
    case PrecedenceRule::kShortBeforeLong:
      return "because short work goes before long work";
    case PrecedenceRule::kReservedSlot:
      return "because the free slot was one kept for short work";
    case PrecedenceRule::kStragglerLimit:
      return "because very long work already held all the slots it may hold";
    case PrecedenceRule::kLongMinimum:
      return "because long work is guaranteed a minimum share and was below it";
  }
  return "";
}

std::string_view ReasonClause(Reason reason) {
  switch (reason) {
    case Reason::kDeadline:
      return "because it could not finish before its deadline";
    case Reason::kCallerLimit:
      return "because its caller had reached the limit for one caller";
    case Reason::kServiceLimit:
      return "because the queue of the service was full";
    case Reason::kOverload:
      return "because requests had waited longer than the target for too long";
    default:
      return "for a reason recorded as code ";
  }
}

std::string ReasonClause(const SchedulingDecision& decision) {
  std::string text(ReasonClause(decision.reason));
  if (text.back() == ' ') text += ToString(decision.reason);
  return text;
}

std::string Outcome(const SchedulingDecision& decision) {
  const std::string waited =
      std::to_string((decision.decided - decision.queued).Count()) + " ms";
  switch (decision.outcome) {
    case SchedulingOutcome::kStarted:
      return " started after waiting " + waited + ".";
    case SchedulingOutcome::kRefused:
      return " was refused on arrival " + ReasonClause(decision) +
             ". It was not run.";
    case SchedulingOutcome::kShed:
      return " was taken out of the queue after " + waited + " " +
             ReasonClause(decision) + ". It was not run.";
  }
  return "";
}

}  // namespace

std::string ExplainDecision(const SchedulingDecision& decision) {
  std::string text = "Request " + std::to_string(decision.key.number.Value()) +
                     " of flow " + ToString(decision.key.flow) +
                     Outcome(decision);
  text += " It counted as " + std::string(Name(decision.work_class));
  text += decision.lane == Lane::kUnclassified
              ? " of a caller without history, which may not take the slots "
                "kept for short work."
              : ".";
  text += " When it arrived, " + std::to_string(decision.busy_when_queued) +
          " of " + std::to_string(decision.slots) + " slots were busy";
  if (decision.reserved_slots > 0) {
    text += "; " + Plural(decision.reserved_slots, "slot") +
            " may not be held by long work";
  }
  text += ".";

  if (decision.ahead_total > 0) {
    text += " " + Plural(decision.ahead_total, "request") +
            " started while it waited";
    text += decision.ahead_total > decision.ahead_count
                ? ", the last " + std::to_string(decision.ahead_count) +
                      " of them as follows."
                : ".";
    for (uint32_t i = 0; i < decision.ahead_count; ++i) {
      const PrecedingRequest& ahead = decision.ahead[i];
      text += ahead.caller == decision.caller
                  ? " Request " + std::to_string(ahead.key.number.Value()) +
                        " of the same caller"
                  : std::string(" A request of another caller");
      text += " went ahead " + std::string(ReasonClause(ahead.rule)) + ".";
    }
  } else if (decision.outcome != SchedulingOutcome::kRefused) {
    text += " No other request started while it waited.";
  }
  if (decision.by_long_minimum) {
    text +=
        " It went before waiting short work because long work was below its "
        "guaranteed share.";
  }
  if (decision.outcome != SchedulingOutcome::kStarted) {
    text += " The caller may try again after " +
            std::to_string(decision.retry_after.Count()) + " ms.";
  }
  text += " These rules are from configuration revision " +
          std::to_string(decision.revision.Value()) + ".";
  return text;
}

}  // namespace cornelhill
