#include "tests/support/pool.h"

#include <algorithm>
#include <cstdio>

namespace cornelhill {

namespace {

constexpr Millis kLease(5000);
constexpr Millis kRenewal(1000);
constexpr Millis kTick(10);
// Control removes a lost upstream after this time: copies of packets that it
// received can arrive for the resend lifetime after the last process has
// learned of the loss.
constexpr Millis kLostRetention = kResendLifetime * 2;
constexpr Millis kDrainBound(2000);
// A caller waits this long after its last packet before it reuses the flow key,
// so that no late copy opens the earlier flow after the new one.
constexpr Millis kKeyReuseDelay(1000);
constexpr uint32_t kMaxAttempts = 8;
// The first requests of a cold upstream, which take twice as long.
constexpr uint32_t kColdJobs = 16;
constexpr uint32_t kDomains = 3;

Endpoint CallerAddress(const FlowPlan& plan) {
  return {0x0a000000U + plan.caller, plan.port};
}

Endpoint ServiceAddress(uint32_t service) {
  return {0x7f000a01U + service, 7001};
}

uint32_t DomainOf(uint32_t index) { return 1 + index % kDomains; }

// Payload of a packet of a request.
struct WorkPayload {
  unsigned work = 0;
  unsigned attempt = 0;
  unsigned part = 0;
  unsigned resume_from = 0;
};

std::string Encode(const WorkPayload& text, uint32_t bytes) {
  std::string payload =
      std::to_string(text.work) + " " + std::to_string(text.attempt) + " " +
      std::to_string(text.part) + " " + std::to_string(text.resume_from) + " ";
  if (payload.size() < bytes) payload.resize(bytes, ' ');
  return payload;
}

WorkPayload Decode(const std::string& payload) {
  WorkPayload text;
  const int fields = std::sscanf(payload.c_str(), "%u %u %u %u", &text.work,
                                 &text.attempt, &text.part, &text.resume_from);
  if (fields != 4) std::abort();
  return text;
}

// Part number of packets that resume an answer or cancel a request; they carry
// no part of the request.
constexpr unsigned kNoPart = 1000000;

uint64_t JobKey(const WorkPayload& text) {
  return uint64_t{text.work} << 16 | text.attempt;
}

}  // namespace

TestPool::TestPool(const PoolConfig& config)
    : config(config), network(config.seed * 2 + 1), random(config.seed * 2) {
  this->network.SetFaults(config.faults);
  for (uint32_t s = 0; s < config.services.size(); ++s) {
    ServiceView view;
    view.id = ServiceId(1 + s);
    view.incarnation = Incarnation(1);
    view.address = ServiceAddress(s);
    view.rules = config.rules;
    this->views.push_back(view);
    for (uint32_t i = 0; i < config.services[s].upstreams; ++i) {
      const auto index = static_cast<uint32_t>(this->agents.size());
      this->StartAgent(s, config.services[s].slots,
                       {0x7f000200U + index, 6100});
    }
  }
  for (uint32_t i = 0; i < config.balancers; ++i) this->StartBalancer();
  for (uint32_t s = 0; s < this->views.size(); ++s) this->Publish(s);
  this->At(Millis(100), [this] { this->ExpireLeases(); });
  this->At(Millis(1000), [this] { this->LeaveWhenDrained(); });
}

void TestPool::RecordFault(uint64_t* counter, const std::string& what) {
  ++*counter;
  if (!this->first_fault.empty()) return;
  this->first_fault =
      "at " + std::to_string(this->Now().Count()) + " ms: " + what;
}

// Control.

void TestPool::Publish(uint32_t service) {
  ServiceView& view = this->views[service];
  view.revision = Revision(++this->revision);
  std::sort(view.upstreams.begin(), view.upstreams.end(),
            [](const UpstreamInfo& a, const UpstreamInfo& b) {
              return a.instance < b.instance;
            });
  const int64_t spread = this->config.view_spread.Count();
  for (uint32_t i = 0; i < this->agents.size(); ++i) {
    if (this->agents[i]->service != service || !this->agents[i]->alive)
      continue;
    this->At(this->RandomTimeWithin(spread) + Millis(4),
             [this, service, i, view] { this->SendView(service, i, view); });
  }
  for (const auto& balancer : this->balancers) {
    this->At(this->RandomTimeWithin(spread) + Millis(4),
             [core = balancer->core.get(), view] { core->SetView(view); });
  }
}

void TestPool::SendView(uint32_t service, uint32_t agent,
                        const ServiceView& view) {
  AgentProcess& process = *this->agents[agent];
  if (!process.alive) return;
  if (process.frozen) {
    this->At(this->Now() + Millis(20), [this, service, agent, view] {
      this->SendView(service, agent, view);
    });
    return;
  }
  this->Run(agent, [this, &view](auto& core, AgentOutput* out) {
    core.SetView(this->Now(), view, out);
  });
}

void TestPool::Join(uint32_t agent) {
  AgentProcess& process = *this->agents[agent];
  UpstreamInfo upstream;
  upstream.instance = process.instance;
  upstream.incarnation =
      std::visit([](const auto& core) { return core.Identity().incarnation; },
                 *process.core);
  upstream.agent = process.address;
  upstream.failure_domain = FailureDomainId(DomainOf(agent));
  upstream.slots = process.slots;
  // An instance stays draining after its lease has expired.
  upstream.draining = process.drained_at >= Millis();
  ServiceView& view = this->views[process.service];
  for (const UpstreamInfo& earlier : view.upstreams) {
    if (earlier.instance != process.instance) continue;
    // The process was replaced before its lease expired.
    upstream.draining = earlier.draining;
    this->RemoveFromView(agent, true);
    break;
  }
  view.upstreams.push_back(upstream);
  process.lease = this->Now() + kLease;
  this->Publish(process.service);
}

void TestPool::RemoveFromView(uint32_t agent, bool lost) {
  const AgentProcess& process = *this->agents[agent];
  const uint32_t service = process.service;
  ServiceView& view = this->views[service];
  const auto found =
      std::find_if(view.upstreams.begin(), view.upstreams.end(),
                   [&process](const UpstreamInfo& upstream) {
                     return upstream.instance == process.instance;
                   });
  if (found == view.upstreams.end()) return;
  const LostUpstream entry{found->instance, found->incarnation};
  view.upstreams.erase(found);
  if (!lost) return;
  view.lost.push_back(entry);
  this->At(this->Now() + kLostRetention, [this, service, entry] {
    std::erase(this->views[service].lost, entry);
    this->Publish(service);
  });
}

void TestPool::Renew(uint32_t agent, uint64_t generation) {
  AgentProcess& process = *this->agents[agent];
  if (!process.alive || process.generation != generation) return;
  this->At(this->Now() + kRenewal,
           [this, agent, generation] { this->Renew(agent, generation); });
  if (process.frozen) return;
  const Incarnation incarnation =
      std::visit([](const auto& core) { return core.Identity().incarnation; },
                 *process.core);
  const Millis sent = this->Now();
  this->At(sent + Millis(4), [this, agent, generation, incarnation, sent] {
    AgentProcess& process = *this->agents[agent];
    if (!process.alive || process.generation != generation) return;
    const auto& upstreams = this->views[process.service].upstreams;
    const bool known = std::any_of(
        upstreams.begin(), upstreams.end(), [&](const UpstreamInfo& upstream) {
          return upstream.instance == process.instance &&
                 upstream.incarnation == incarnation;
        });
    if (known) {
      process.lease = this->Now() + kLease;
      this->At(this->Now() + Millis(4),
               [this, agent, generation, sent, incarnation] {
                 AgentProcess& process = *this->agents[agent];
                 if (process.generation != generation) return;
                 std::visit(
                     [&](auto& core) {
                       if (core.Identity().incarnation != incarnation) return;
                       core.SetLease(sent + kLease);
                       process.lease_held = sent + kLease;
                     },
                     *process.core);
               });
      return;
    }
    this->At(this->Now() + Millis(4), [this, agent, generation, incarnation] {
      AgentProcess& process = *this->agents[agent];
      if (!process.alive || process.frozen || process.generation != generation)
        return;
      std::visit(
          [&](auto& core) {
            if (core.Identity().incarnation != incarnation) return;
            core.Rejoin(Incarnation(++this->incarnations));
          },
          *process.core);
      this->Join(agent);
    });
  });
}

void TestPool::ExpireLeases() {
  this->At(this->Now() + Millis(100), [this] { this->ExpireLeases(); });
  for (uint32_t i = 0; i < this->agents.size(); ++i) {
    if (this->agents[i]->lease > this->Now() || !this->InService(i)) continue;
    this->RemoveFromView(i, true);
    this->Publish(this->agents[i]->service);
  }
}

void TestPool::LeaveWhenDrained() {
  this->At(this->Now() + Millis(1000), [this] { this->LeaveWhenDrained(); });
  for (uint32_t i = 0; i < this->agents.size(); ++i) {
    AgentProcess& process = *this->agents[i];
    if (!process.alive || process.drained_at < Millis() ||
        this->Now() < process.drained_at + kResendLifetime) {
      continue;
    }
    const bool used = std::any_of(
        this->flows.begin(), this->flows.end(),
        [i](const auto& flow) { return !flow->ended && flow->owner == i; });
    const bool idle =
        std::visit([](const auto& core) { return core.Idle(); }, *process.core);
    if (used || !idle) continue;
    this->RemoveFromView(i, false);
    this->Publish(process.service);
    process.alive = false;
    this->network.Detach(process.address);
  }
}

bool TestPool::InService(uint32_t upstream) const {
  const AgentProcess& process = *this->agents[upstream];
  const auto& upstreams = this->views[process.service].upstreams;
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&process](const UpstreamInfo& known) {
                       return known.instance == process.instance;
                     });
}

AgentCounters TestPool::CountersOf(uint32_t upstream) const {
  return std::visit([](const auto& core) { return core.Counters(); },
                    *this->agents[upstream]->core);
}

// Processes.

uint32_t TestPool::StartAgent(uint32_t service, uint32_t slots,
                              Endpoint address) {
  const auto index = static_cast<uint32_t>(this->agents.size());
  auto process = std::make_unique<AgentProcess>();
  process->service = service;
  process->slots = slots;
  process->instance = InstanceId(address.address & 0xffff);
  process->address = address;
  this->agents.push_back(std::move(process));
  this->NewCore(index);
  this->Join(index);
  return index;
}

void TestPool::NewCore(uint32_t agent) {
  AgentProcess& process = *this->agents[agent];
  const AgentIdentity identity{
      process.instance, Incarnation(++this->incarnations), process.address};
  process.core =
      this->config.naive
          ? std::make_unique<Core>(std::in_place_type<naive::ModuloAgent>,
                                   identity)
          : std::make_unique<Core>(std::in_place_type<Agent>, identity);
  const uint64_t generation = ++process.generation;
  process.lease_held = Millis();
  this->network.Attach(process.address, DomainOf(agent),
                       [this, agent](Endpoint from, DataMessage message) {
                         this->OnAgent(agent, from, std::move(message));
                       });
  this->At(this->Now() + Millis(static_cast<int64_t>(this->random.Below(10))),
           [this, agent, generation] { this->TickAgent(agent, generation); });
  this->At(this->Now() + Millis(20),
           [this, agent, generation] { this->Renew(agent, generation); });
}

void TestPool::StartBalancer() {
  const auto index = static_cast<uint32_t>(this->balancers.size());
  auto process = std::make_unique<BalancerProcess>();
  process->address = {0x7f000100U + index, 6000};
  process->core = std::make_unique<Balancer>(size_t{1} << 14);
  this->network.Attach(process->address, DomainOf(index),
                       [this, index](Endpoint from, DataMessage message) {
                         this->OnBalancer(index, from, std::move(message));
                       });
  this->balancers.push_back(std::move(process));
}

void TestPool::OnBalancer(uint32_t balancer, Endpoint from,
                          DataMessage message) {
  BalancerProcess& process = *this->balancers[balancer];
  if (const auto* answer = std::get_if<Return>(&message)) {
    this->network.Send(process.address, answer->flow.caller,
                       std::move(message));
    return;
  }
  if (const auto* hint = std::get_if<OwnerHint>(&message)) {
    process.core->OnOwnerHint(*hint);
    return;
  }
  auto* forward = std::get_if<Forward>(&message);
  if (forward == nullptr || from != forward->packet.flow.caller) return;
  forward->balancer = process.address;
  if (this->config.naive) {
    const auto route =
        process.core->Services().Find(forward->packet.flow.service);
    if (route == nullptr) return;
    const auto index = naive::ModuloUpstream(route->view, forward->packet.flow);
    if (!index.has_value()) return;
    this->network.Send(process.address, route->view.upstreams[*index].agent,
                       std::move(message));
    return;
  }
  RouteDrop reason = RouteDrop::kUnknownService;
  const auto decision = process.core->Route(forward->packet.flow, &reason);
  if (!decision.has_value()) return;
  forward->service = decision->service;
  forward->target_incarnation = decision->target;
  this->network.Send(process.address, decision->agent, std::move(message));
}

template <typename Call>
void TestPool::Run(uint32_t agent, Call call) {
  AgentProcess& process = *this->agents[agent];
  const uint64_t before = this->AcceptedBy(agent);
  AgentOutput out;
  std::visit([&](auto& core) { call(core, &out); }, *process.core);
  const uint64_t accepted = this->AcceptedBy(agent);
  if (accepted > before && this->Now() >= process.lease_held) {
    this->RecordFault(&this->faults.decided_without_lease,
                      "agent " + std::to_string(agent) + " took a new flow");
  }
  if (process.drained_at >= Millis() &&
      this->Now() >= process.drained_at + kDrainBound && accepted > before) {
    this->RecordFault(&this->faults.new_flow_while_draining,
                      "agent " + std::to_string(agent) + " took a new flow");
  }
  this->Dispatch(agent, std::move(out));
}

void TestPool::OnAgent(uint32_t agent, Endpoint from, DataMessage message) {
  this->Run(agent, [&](auto& core, AgentOutput* out) {
    core.OnMessage(this->Now(), from, std::move(message), out);
  });
}

void TestPool::TickAgent(uint32_t agent, uint64_t generation) {
  AgentProcess& process = *this->agents[agent];
  if (!process.alive || process.generation != generation) return;
  this->At(this->Now() + kTick,
           [this, agent, generation] { this->TickAgent(agent, generation); });
  if (process.frozen) return;
  this->Run(agent, [this](auto& core, AgentOutput* out) {
    core.Tick(this->Now(), out);
  });
}

void TestPool::Dispatch(uint32_t agent, AgentOutput out) {
  AgentProcess& process = *this->agents[agent];
  for (SendMessage& send : out.sends) {
    const auto* answer = std::get_if<Return>(&send.message);
    if (answer != nullptr && answer->refused &&
        answer->refusal.verdict == Verdict::kNotRun) {
      const WorkPayload text = Decode(answer->payload);
      WorkRecord& work = this->works[text.work];
      work.not_run[text.attempt] = true;
      if (work.delivered[text.attempt]) {
        this->RecordFault(&this->faults.false_not_run,
                          "work " + std::to_string(text.work) + " had run");
      }
    }
    this->network.Send(process.address, send.to, std::move(send.message));
  }
  for (const UpstreamPacket& packet : out.upstream)
    this->Deliver(agent, packet);
}

// Upstreams.

void TestPool::Deliver(uint32_t upstream, const UpstreamPacket& packet) {
  AgentProcess& process = *this->agents[upstream];
  const WorkPayload text = Decode(packet.payload);
  WorkRecord& work = this->works[text.work];
  CallerFlow& flow = *this->flows[work.flow];
  if (packet.packet.flow.service != ServiceAddress(process.service) ||
      flow.plan.service != process.service) {
    this->RecordFault(&this->faults.wrong_service,
                      "work " + std::to_string(text.work));
    return;
  }
  const uint64_t key = JobKey(text);
  const auto known = process.jobs.find(key);
  if (packet.action == UpstreamAction::kCancel) {
    if (known == process.jobs.end() || known->second.ended) return;
    Job& job = known->second;
    if (job.running && !job.orphan) --process.running;
    job.running = false;
    job.ended = true;
    return;
  }
  work.delivered[text.attempt] = true;
  if (work.not_run[text.attempt]) {
    this->RecordFault(
        &this->faults.false_not_run,
        "work " + std::to_string(text.work) + " was delivered later");
  }
  if (packet.packet.nonce == flow.nonce) {
    if (flow.owner.has_value() && *flow.owner != upstream &&
        !this->agents[*flow.owner]->faulted) {
      this->RecordFault(&this->faults.broken_flow,
                        "work " + std::to_string(text.work) + " of flow " +
                            std::to_string(work.flow) + " moved from " +
                            std::to_string(*flow.owner) + " to " +
                            std::to_string(upstream));
    }
    flow.owner = upstream;
  }
  if (text.part >= kNoPart) {
    if (known == process.jobs.end()) return;
    const Job& job = known->second;
    for (uint32_t i = text.resume_from;
         i < job.sent && i < text.resume_from + 32; ++i) {
      this->SendChunk(upstream, job, i);
    }
    return;
  }
  Job& job = process.jobs[key];
  if (known != process.jobs.end() && packet.packet.first && text.part == 0) {
    if (!job.plan.repeatable) {
      this->RecordFault(
          &this->faults.run_twice,
          "work " + std::to_string(text.work) + " was delivered twice");
      return;
    }
    if (!job.ended) return;
    const uint32_t run = job.run;
    job = Job();
    job.run = run;
  }
  if (job.parts.empty()) {
    job.answer.flow = packet.packet.flow;
    job.answer.nonce = packet.packet.nonce;
    job.answer.request = packet.packet.request;
    job.work = text.work;
    job.attempt = text.attempt;
    job.plan = flow.plan.requests[work.request];
  }
  job.parts.insert(text.part);
  if (job.running || job.ended || job.parts.size() < job.plan.parts) return;
  if (this->random.Chance(this->config.refuse)) {
    job.ended = true;
    AnswerInfo refusal = job.answer;
    refusal.last = true;
    refusal.refused = true;
    refusal.refusal = {Verdict::kNotRun, Reason::kOverload, Millis(50)};
    this->Answer(upstream, refusal,
                 "r " + std::to_string(job.work) + " " +
                     std::to_string(job.attempt) + " 0 0");
    return;
  }
  this->StartJob(upstream, key);
}

void TestPool::StartJob(uint32_t upstream, uint64_t key) {
  AgentProcess& process = *this->agents[upstream];
  Job& job = process.jobs.at(key);
  WorkRecord& work = this->works[job.work];
  job.running = true;
  const uint32_t run = ++job.run;
  work.started = this->Now();
  work.upstream = upstream;
  if (++work.runs > 1 && !job.plan.repeatable) {
    this->RecordFault(&this->faults.run_twice,
                      "work " + std::to_string(job.work) + " ran again");
  }
  if (++process.running > process.slots) {
    this->RecordFault(&this->faults.overcommitted,
                      "upstream " + std::to_string(upstream));
  }
  if (this->config.cold_start && process.jobs_run++ < kColdJobs) {
    job.plan.service = job.plan.service * 2;
  }
  this->At(this->Now() + Millis(job.plan.service.Count() / job.plan.chunks),
           [this, upstream, key, run] { this->NextChunk(upstream, key, run); });
}

void TestPool::NextChunk(uint32_t upstream, uint64_t key, uint32_t run) {
  AgentProcess& process = *this->agents[upstream];
  const auto found = process.jobs.find(key);
  if (found == process.jobs.end() || found->second.run != run ||
      !found->second.running) {
    return;
  }
  Job& job = found->second;
  const uint32_t index = job.sent++;
  if (job.sent == job.plan.chunks) {
    job.running = false;
    job.ended = true;
    if (!job.orphan) --process.running;
    if (this->random.Chance(this->config.answer_again)) {
      this->At(this->RandomTimeWithin(3000),
               [this, upstream, copy = job, index] {
                 if (this->agents[upstream]->alive)
                   this->SendChunk(upstream, copy, index);
               });
    }
  } else {
    this->At(
        this->Now() + Millis(job.plan.service.Count() / job.plan.chunks),
        [this, upstream, key, run] { this->NextChunk(upstream, key, run); });
  }
  this->SendChunk(upstream, job, index);
}

void TestPool::SendChunk(uint32_t upstream, const Job& job, uint32_t index) {
  AnswerInfo answer = job.answer;
  answer.last = index + 1 == job.plan.chunks;
  std::string payload =
      "a " + std::to_string(job.work) + " " + std::to_string(job.attempt) +
      " " + std::to_string(index) + " " + std::to_string(job.plan.chunks) + " ";
  if (payload.size() < job.plan.chunk_bytes) {
    payload.resize(job.plan.chunk_bytes, ' ');
  }
  // Sent in a separate event, since the agent may be inside a call.
  this->At(this->Now(), [this, upstream, answer, payload] {
    this->Answer(upstream, answer, payload);
  });
}

void TestPool::Answer(uint32_t upstream, const AnswerInfo& answer,
                      std::string payload) {
  AgentProcess& process = *this->agents[upstream];
  if (!process.alive) return;
  if (process.frozen) {
    process.answers_while_frozen.emplace_back(answer, std::move(payload));
    return;
  }
  this->Run(upstream, [&](auto& core, AgentOutput* out) {
    core.OnAnswer(this->Now(), answer, std::move(payload), out);
  });
}

// Planned changes and faults.

uint32_t TestPool::AddUpstream(uint32_t service, uint32_t slots) {
  const auto index = static_cast<uint32_t>(this->agents.size());
  return this->StartAgent(service, slots, {0x7f000200U + index, 6100});
}

uint32_t TestPool::ReuseAddress(uint32_t upstream, uint32_t service) {
  return this->StartAgent(service, this->agents[upstream]->slots,
                          this->agents[upstream]->address);
}

void TestPool::DrainUpstream(uint32_t upstream) {
  AgentProcess& process = *this->agents[upstream];
  if (!process.alive || !this->InService(upstream)) return;
  for (UpstreamInfo& known : this->views[process.service].upstreams) {
    if (known.instance == process.instance) known.draining = true;
  }
  process.drained_at = this->Now();
  this->Publish(process.service);
}

void TestPool::Reweight(uint32_t upstream, uint32_t weight) {
  const AgentProcess& process = *this->agents[upstream];
  for (UpstreamInfo& known : this->views[process.service].upstreams) {
    if (known.instance == process.instance) known.weight = weight;
  }
  this->Publish(process.service);
}

void TestPool::AddBalancer() {
  this->StartBalancer();
  for (uint32_t s = 0; s < this->views.size(); ++s) {
    this->balancers.back()->core->SetView(this->views[s]);
  }
}

void TestPool::DrainBalancer(uint32_t balancer) {
  this->balancers[balancer]->in_fabric = false;
  this->At(this->Now() + Millis(3000), [this, balancer] {
    this->balancers[balancer]->alive = false;
    this->network.Detach(this->balancers[balancer]->address);
  });
}

void TestPool::KillBalancer(uint32_t balancer) {
  this->balancers[balancer]->alive = false;
  this->network.Detach(this->balancers[balancer]->address);
  // The fabric detects the failure later.
  this->At(this->Now() + Millis(500),
           [this, balancer] { this->balancers[balancer]->in_fabric = false; });
}

void TestPool::CrashInstance(uint32_t upstream) {
  AgentProcess& process = *this->agents[upstream];
  process.alive = false;
  process.faulted = true;
  process.running = 0;
  for (auto& [key, job] : process.jobs) job.running = false;
  this->network.Detach(process.address);
}

void TestPool::RestartAgent(uint32_t upstream) {
  AgentProcess& process = *this->agents[upstream];
  if (!process.alive) return;
  process.faulted = true;
  process.frozen = false;
  process.answers_while_frozen.clear();
  process.running = 0;
  for (auto& [key, job] : process.jobs) job.orphan = true;
  this->network.Detach(process.address);
  this->NewCore(upstream);
  this->Join(upstream);
}

void TestPool::CrashUpstream(uint32_t upstream) {
  AgentProcess& process = *this->agents[upstream];
  if (!process.alive || process.frozen) return;
  process.faulted = true;
  process.running = 0;
  process.jobs.clear();
  this->Run(upstream, [this](auto& core, AgentOutput* out) {
    core.OnUpstreamLost(this->Now(), out);
  });
}

void TestPool::Pause(uint32_t upstream, Millis time) {
  AgentProcess& process = *this->agents[upstream];
  if (!process.alive || process.frozen) return;
  process.frozen = true;
  if (time >= kLease - kRenewal) process.faulted = true;
  this->network.Freeze(process.address);
  this->At(this->Now() + time,
           [this, upstream, generation = process.generation] {
             AgentProcess& process = *this->agents[upstream];
             if (!process.alive || process.generation != generation) return;
             process.frozen = false;
             this->network.Continue(process.address);
             for (auto& [answer, payload] :
                  std::exchange(process.answers_while_frozen, {})) {
               this->Answer(upstream, answer, std::move(payload));
             }
           });
}

void TestPool::CutLink(uint32_t from, uint32_t to, Millis time) {
  this->network.Cut(this->agents[from]->address, this->agents[to]->address);
  this->At(this->Now() + time, [this] { this->network.HealCuts(); });
}

// Returns whether all requests of an agent are still within their service time
// at the upstream: the test may end while they run.
bool TestPool::OnlyWithinServiceTime(uint32_t agent) const {
  const auto* core = std::get_if<Agent>(&*this->agents[agent]->core);
  if (core == nullptr || core->Scheduler().QueuedCount() > 0) return false;
  size_t in_service = 0;
  for (const WorkRecord& work : this->works) {
    if (work.runs > 0 && work.upstream == agent &&
        work.end == RequestEnd::kOpen &&
        work.started + work.service > this->Now()) {
      ++in_service;
    }
  }
  return core->Scheduler().RunningCount() == in_service &&
         this->agents[agent]->running == in_service;
}

void TestPool::CheckIdle() {
  for (uint32_t i = 0; i < this->agents.size(); ++i) {
    const AgentProcess& process = *this->agents[i];
    const bool idle =
        std::visit([](const auto& core) { return core.Idle(); }, *process.core);
    if (!process.alive || (idle && process.running == 0)) continue;
    if (this->OnlyWithinServiceTime(i)) continue;
    std::string what = "agent " + std::to_string(i) + " holds work";
    for (const auto& [key, job] : process.jobs) {
      if (job.running) what += " " + std::to_string(job.work) + " (runs)";
      if (!job.ended && !job.running) what += " " + std::to_string(job.work);
    }
    this->RecordFault(&this->faults.slot_leaked, what);
  }
}

// Callers.

void TestPool::AddFlow(const FlowPlan& plan) {
  const auto index = static_cast<uint32_t>(this->flows.size());
  auto flow = std::make_unique<CallerFlow>();
  flow->plan = plan;
  flow->key = {CallerAddress(plan), ServiceAddress(plan.service),
               Protocol::kUdp};
  this->flows.push_back(std::move(flow));
  this->At(plan.start, [this, index] { this->StartFlow(index); });
}

void TestPool::ResetFlow(CallerFlow& flow) {
  flow.nonce = FlowNonce(HashCombine(this->config.seed, ++this->nonces));
  flow.number = 0;
  flow.established = false;
  flow.owner.reset();
}

void TestPool::StartFlow(uint32_t index) {
  CallerFlow& flow = *this->flows[index];
  const auto user = this->key_users.find(flow.key.caller);
  if (user != this->key_users.end()) {
    // The caller reuses the key and has abandoned the earlier flow.
    CallerFlow& earlier = *this->flows[user->second];
    if (this->Now() < earlier.last_sent + kKeyReuseDelay) {
      this->At(earlier.last_sent + kKeyReuseDelay,
               [this, index] { this->StartFlow(index); });
      return;
    }
    if (earlier.waiting) {
      WorkRecord& work = this->works[earlier.work];
      work.end = RequestEnd::kUnknown;
      work.ended = this->Now();
    }
    earlier.waiting = false;
    earlier.ended = true;
    ++earlier.epoch;
  }
  this->key_users[flow.key.caller] = index;
  this->network.Attach(flow.key.caller, FakeNetwork::kCallerDomain,
                       [this, index](Endpoint, DataMessage message) {
                         this->OnCaller(index, std::move(message));
                       });
  this->ResetFlow(flow);
  this->NextRequest(index);
}

void TestPool::NextRequest(uint32_t index) {
  CallerFlow& flow = *this->flows[index];
  if (flow.ended) return;
  if (flow.request >= flow.plan.requests.size()) {
    flow.ended = true;
    return;
  }
  WorkRecord work;
  work.flow = index;
  work.request = flow.request;
  work.is_long = flow.plan.is_long;
  work.sent = this->Now();
  work.service = flow.plan.requests[flow.request].service;
  flow.work = static_cast<uint32_t>(this->works.size());
  flow.attempt = 0;
  this->works.push_back(work);
  this->SendRequest(index);
}

void TestPool::SendRequest(uint32_t index) {
  CallerFlow& flow = *this->flows[index];
  if (flow.ended) return;
  WorkRecord& work = this->works[flow.work];
  work.delivered.push_back(false);
  work.not_run.push_back(false);
  ++flow.number;
  flow.waiting = true;
  flow.chunks.clear();
  flow.attempt_sent = this->Now();
  flow.last_progress = this->Now();
  const uint32_t epoch = ++flow.epoch;
  this->SendPackets(index, false);
  this->Resend(index, epoch, Millis(200));
  const RequestPlan& plan = flow.plan.requests[flow.request];
  if (plan.cancel_after > Millis()) {
    this->At(this->Now() + plan.cancel_after, [this, index, epoch] {
      CallerFlow& flow = *this->flows[index];
      if (flow.epoch != epoch || !flow.waiting) return;
      PacketInfo packet = this->PacketOf(flow);
      packet.cancel = true;
      this->SendPacket(index, packet,
                       Encode({flow.work, flow.attempt, kNoPart, 0}, 0));
    });
  }
}

PacketInfo TestPool::PacketOf(const CallerFlow& flow) const {
  PacketInfo packet;
  packet.flow = flow.key;
  packet.nonce = flow.nonce;
  packet.request = RequestNumber(flow.number);
  packet.repeatable = flow.plan.requests[flow.request].repeatable;
  packet.deadline = flow.plan.requests[flow.request].deadline;
  return packet;
}

void TestPool::SendPackets(uint32_t index, bool resent) {
  const CallerFlow& flow = *this->flows[index];
  const RequestPlan& plan = flow.plan.requests[flow.request];
  // First packets are not resent after `PoolConfig::resend_for`.
  const Millis waited = this->Now() - flow.attempt_sent;
  const uint32_t begin = waited <= this->config.resend_for ? 0 : 1;
  for (uint32_t part = begin; part < plan.parts; ++part) {
    PacketInfo packet = this->PacketOf(flow);
    packet.first = part == 0;
    packet.resent = resent;
    this->SendPacket(
        index, packet,
        Encode({flow.work, flow.attempt, part, 0}, plan.part_bytes));
  }
}

void TestPool::SendPacket(uint32_t index, const PacketInfo& packet,
                          std::string payload) {
  std::vector<const BalancerProcess*> usable;
  for (const auto& balancer : this->balancers) {
    if (balancer->in_fabric) usable.push_back(balancer.get());
  }
  if (usable.empty()) return;
  Forward forward;
  this->flows[index]->last_sent = this->Now();
  forward.packet = packet;
  forward.payload = std::move(payload);
  this->network.Send(this->flows[index]->key.caller,
                     usable[this->random.Below(usable.size())]->address,
                     std::move(forward));
}

void TestPool::Resend(uint32_t index, uint32_t epoch, Millis period) {
  this->At(this->Now() + period, [this, index, epoch, period] {
    CallerFlow& flow = *this->flows[index];
    if (flow.epoch != epoch || !flow.waiting) return;
    const RequestPlan& plan = flow.plan.requests[flow.request];
    const Millis quiet = this->Now() - flow.last_progress;
    const Millis gap(plan.service.Count() / plan.chunks);
    if (quiet > this->config.resend_for + this->config.rules.max_wait +
                    gap * 2 + Millis(4000)) {
      this->OnFailed(index, {Verdict::kMayHaveRun, Reason::kNone, Millis()});
      return;
    }
    if (flow.chunks.empty()) this->SendPackets(index, true);
    // The agent does not store a long answer; the upstream resends it.
    if (quiet > gap + Millis(500)) {
      uint32_t missing = 0;
      while (flow.chunks.contains(missing)) ++missing;
      this->SendPacket(index, this->PacketOf(flow),
                       Encode({flow.work, flow.attempt, kNoPart, missing}, 0));
    }
    this->Resend(index, epoch,
                 std::min(Millis(1000), Millis(period.Count() * 3 / 2)));
  });
}

void TestPool::OnCaller(uint32_t index, DataMessage message) {
  CallerFlow& flow = *this->flows[index];
  const auto* answer = std::get_if<Return>(&message);
  if (answer == nullptr || !flow.waiting || answer->nonce != flow.nonce ||
      answer->request != RequestNumber(flow.number)) {
    return;
  }
  if (answer->refused) {
    this->OnFailed(index, answer->refusal);
    return;
  }
  char kind = 0;
  unsigned work = 0;
  unsigned attempt = 0;
  unsigned chunk = 0;
  unsigned count = 0;
  std::sscanf(answer->payload.c_str(), "%c %u %u %u %u", &kind, &work, &attempt,
              &chunk, &count);
  if (work != flow.work || attempt != flow.attempt) {
    this->RecordFault(&this->faults.crossed_answer,
                      "flow " + std::to_string(index) +
                          " got the answer of work " + std::to_string(work));
    return;
  }
  if (kind == 'r') {
    // The upstream itself refused the request before running it.
    this->OnFailed(index, {Verdict::kNotRun, Reason::kOverload, Millis(50)});
    return;
  }
  flow.chunks.insert(chunk);
  flow.last_progress = this->Now();
  if (flow.chunks.size() == count) this->OnAnswered(index);
}

void TestPool::OnAnswered(uint32_t index) {
  CallerFlow& flow = *this->flows[index];
  WorkRecord& work = this->works[flow.work];
  work.end = RequestEnd::kAnswered;
  work.ended = this->Now();
  flow.waiting = false;
  flow.established = true;
  ++flow.request;
  const uint32_t epoch = ++flow.epoch;
  if (flow.request >= flow.plan.requests.size()) flow.ended = true;
  this->At(this->Now() + flow.plan.think, [this, index, epoch] {
    if (this->flows[index]->epoch == epoch) this->NextRequest(index);
  });
}

void TestPool::OnFailed(uint32_t index, const Refusal& refusal) {
  CallerFlow& flow = *this->flows[index];
  WorkRecord& work = this->works[flow.work];
  flow.waiting = false;
  const uint32_t epoch = ++flow.epoch;
  const bool not_run = refusal.verdict == Verdict::kNotRun;
  const bool cancelled = refusal.reason == Reason::kCancelled;
  // Preempted from a reserved slot and then shed; the flow stays open.
  const bool preempted = !not_run &&
                         flow.plan.requests[flow.request].repeatable &&
                         (refusal.reason == Reason::kOverload ||
                          refusal.reason == Reason::kDeadline);
  // Naive callers retry after any error, so their work may run twice.
  const bool again = !cancelled &&
                     (not_run || preempted || this->config.naive) &&
                     flow.attempt + 1 < kMaxAttempts;
  if (!not_run && !cancelled && !preempted) {
    const bool lost =
        flow.owner.has_value() && this->agents[*flow.owner]->faulted;
    if (lost) {
      ++this->flows_lost;
    } else if (flow.established && refusal.reason == Reason::kNone &&
               !this->config.naive) {
      ++this->flows_given_up;
    } else if (flow.established) {
      this->RecordFault(&this->faults.broken_flow,
                        "work " + std::to_string(flow.work) + " of flow " +
                            std::to_string(index) + " ended with " +
                            std::string(ToString(refusal.verdict)) + " " +
                            std::string(ToString(refusal.reason)));
    }
    this->ResetFlow(flow);
  } else if (not_run && !flow.established) {
    this->ResetFlow(flow);
  }
  if (again) {
    ++flow.attempt;
    const auto backoff = static_cast<int64_t>(20)
                         << std::min<uint32_t>(flow.attempt, 6);
    this->At(this->RandomTimeWithin(backoff) + refusal.retry_after,
             [this, index, epoch] {
               if (this->flows[index]->epoch == epoch) this->SendRequest(index);
             });
    return;
  }
  work.end = not_run ? RequestEnd::kRefused : RequestEnd::kUnknown;
  work.ended = this->Now();
  ++flow.request;
  this->At(this->Now() + std::max(flow.plan.think, Millis(100)),
           [this, index, epoch] {
             if (this->flows[index]->epoch == epoch) this->NextRequest(index);
           });
}

}  // namespace cornelhill
