#include "cornelhill/daemon/inspect_agent.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cornelhill {

namespace {

InspectedState StateOf(FlowState state) {
  switch (state) {
    case FlowState::kIdle:
      return InspectedState::kIdle;
    case FlowState::kQueued:
      return InspectedState::kQueued;
    case FlowState::kRunning:
      return InspectedState::kRunning;
  }
  return InspectedState::kIdle;
}

FlowReply Flows(const Agent& agent, const std::string& process,
                const FlowQuery& query, Millis now) {
  const size_t limit = std::clamp<size_t>(query.limit, 1, kMaxFlowsPerPage);
  // One more than the page, to know whether there are more.
  std::vector<std::pair<FlowKey, const Flow*>> page;
  page.reserve(limit + 2);
  const auto by_key = [](const auto& a, const auto& b) {
    return a.first < b.first;
  };
  // A heap whose largest key is replaced by each smaller one.
  for (const auto& [key, flow] : agent.Flows()) {
    if (query.after.has_value() && !(*query.after < key)) continue;
    if (page.size() > limit) {
      if (!(key < page.front().first)) continue;
      std::pop_heap(page.begin(), page.end(), by_key);
      page.pop_back();
    }
    page.emplace_back(key, &flow);
    std::push_heap(page.begin(), page.end(), by_key);
  }
  std::sort_heap(page.begin(), page.end(), by_key);

  FlowReply reply{query.query, process, {}, page.size() > limit};
  for (size_t i = 0; i < std::min(page.size(), limit); ++i) {
    const auto& [key, flow] = page[i];
    const RequestKey request{key, flow->nonce, flow->request};
    InspectedFlow entry;
    entry.flow = key;
    entry.nonce = flow->nonce;
    entry.state = StateOf(flow->state);
    entry.work_class = agent.Scheduler()
                           .History()
                           .LearnedClass(request, CallerId(key.caller.address))
                           .value_or(WorkClass::kShort);
    entry.balancer = flow->balancer;
    entry.age = now - flow->accepted;
    reply.flows.push_back(entry);
  }
  return reply;
}

WhyReply Why(const Agent& agent, const std::string& process,
             const WhyQuery& query, Millis to_wall) {
  std::vector<SchedulingDecision> decisions =
      agent.Scheduler().Starts().OfFlow(query.flow);
  for (const SchedulingDecision& refusal :
       agent.Scheduler().Refusals().OfFlow(query.flow)) {
    decisions.push_back(refusal);
  }
  std::stable_sort(
      decisions.begin(), decisions.end(),
      [](const SchedulingDecision& a, const SchedulingDecision& b) {
        return a.decided < b.decided;
      });
  WhyReply reply{query.query, process, {}, false};
  const size_t skipped =
      decisions.size() - std::min(decisions.size(), kMaxExplainedDecisions);
  reply.truncated = skipped > 0;
  for (size_t i = skipped; i < decisions.size(); ++i) {
    reply.decisions.push_back(Explain(decisions[i], to_wall));
  }
  return reply;
}

}  // namespace

std::optional<InspectMessage> InspectAgent(const Agent& agent,
                                           const std::string& process,
                                           const InspectMessage& query,
                                           Millis now, Millis wall_now) {
  if (const auto* flows = std::get_if<FlowQuery>(&query)) {
    return Flows(agent, process, *flows, now);
  }
  if (const auto* why = std::get_if<WhyQuery>(&query)) {
    return Why(agent, process, *why, wall_now - now);
  }
  return std::nullopt;
}

}  // namespace cornelhill
