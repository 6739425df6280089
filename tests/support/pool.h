#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cornelhill/agent/agent.h"
#include "cornelhill/route/balancer.h"
#include "tests/naive/modulo_pool.h"
#include "tests/support/fake_network.h"

namespace cornelhill {

// One request of a caller.
struct RequestPlan {
  Millis service = Millis(5);  // Slot time.
  uint32_t chunks = 1;         // Packets of the answer, evenly spaced.
  uint32_t parts = 1;          // Packets of the request.
  uint32_t part_bytes = 64;
  uint32_t chunk_bytes = 64;
  bool repeatable = false;
  Millis deadline;      // 0: none.
  Millis cancel_after;  // 0: never.
};

// A flow of one caller, with sequential requests.
struct FlowPlan {
  Millis start;
  uint32_t caller = 0;
  uint16_t port = 0;
  uint32_t service = 0;  // Position in `PoolConfig::services`.
  bool is_long = false;
  std::vector<RequestPlan> requests;
  Millis think;  // Between an answer and the next request.
};

struct ServiceConfig {
  uint32_t upstreams = 3;
  uint32_t slots = 2;
};

struct PoolConfig {
  uint64_t seed = 1;
  uint32_t balancers = 3;
  std::vector<ServiceConfig> services = {{7, 2}};
  SchedulingRules rules;
  NetworkFaults faults;
  // Maximum delay of a view on the way to a process; the minimum is 5 ms.
  Millis view_spread = Millis(300);
  // Callers resend a first packet for this long.
  Millis resend_for = Millis(3000);
  // Probabilities that an upstream resends part of an answer later, and that it
  // refuses a request.
  double answer_again = 0;
  double refuse = 0;
  bool cold_start = false;
  bool naive = false;
};

enum class RequestEnd : uint8_t { kOpen, kAnswered, kRefused, kUnknown, kLost };

// One request of a caller, with all its attempts.
struct WorkRecord {
  uint32_t flow = 0;
  uint32_t request = 0;
  bool is_long = false;
  RequestEnd end = RequestEnd::kOpen;
  Millis sent;
  Millis started;  // Of its last run.
  Millis ended;
  Millis service;
  uint32_t runs = 0;
  uint32_t upstream = 0;        // Of its last run.
  std::vector<bool> delivered;  // By attempt: a packet reached an upstream.
  std::vector<bool> not_run;    // By attempt: an agent said `not_run`.
};

// Violations of each invariant; all zero for a correct implementation.
struct PoolFaults {
  uint64_t run_twice = 0;
  uint64_t false_not_run = 0;
  uint64_t wrong_service = 0;
  uint64_t crossed_answer = 0;
  uint64_t broken_flow = 0;  // The flow's upstream was healthy.
  uint64_t overcommitted = 0;
  uint64_t new_flow_while_draining = 0;
  uint64_t decided_without_lease = 0;
  uint64_t slot_leaked = 0;

  uint64_t Total() const {
    return this->run_twice + this->false_not_run + this->wrong_service +
           this->crossed_answer + this->broken_flow + this->overcommitted +
           this->new_flow_while_draining + this->decided_without_lease +
           this->slot_leaked;
  }
};

// Simulates balancers, agents with their upstreams, callers and a fake control
// that distributes views and leases, on a fake network in one process. Checks
// the invariants while it runs. Not thread-safe.
class TestPool {
 public:
  explicit TestPool(const PoolConfig& config);

  void AddFlow(const FlowPlan& plan);

  // Planned changes. Upstreams are numbered in the order they were added.
  uint32_t AddUpstream(uint32_t service, uint32_t slots);
  void DrainUpstream(uint32_t upstream);
  void Reweight(uint32_t upstream, uint32_t weight);
  // Starts an upstream of `service` at the address of one that has left.
  uint32_t ReuseAddress(uint32_t upstream, uint32_t service);
  void AddBalancer();
  void DrainBalancer(uint32_t balancer);

  // Faults.
  void KillBalancer(uint32_t balancer);
  void CrashInstance(uint32_t upstream);  // Agent and upstream.
  void RestartAgent(uint32_t upstream);   // The upstream keeps running.
  void CrashUpstream(uint32_t upstream);  // The agent keeps running.
  void Pause(uint32_t upstream, Millis time);
  void CutLink(uint32_t from, uint32_t to, Millis time);

  void RunUntil(Millis until) { this->network.RunUntil(until); }
  // Schedules `run` at `when`.
  void At(Millis when, std::function<void()> run) {
    this->network.At(when, std::move(run));
  }
  // Checks that no slot is in use. Call after all flows have ended.
  void CheckIdle();
  bool OnlyWithinServiceTime(uint32_t agent) const;

  Millis Now() const { return this->network.Now(); }
  FakeNetwork& Network() { return this->network; }
  const PoolFaults& Faults() const { return this->faults; }
  const std::string& FirstFault() const { return this->first_fault; }
  const std::vector<WorkRecord>& Works() const { return this->works; }
  uint64_t Flows() const { return this->flows.size(); }
  // Established flows whose callers timed out.
  uint64_t FlowsGivenUp() const { return this->flows_given_up; }
  uint64_t FlowsLostWithUpstream() const { return this->flows_lost; }
  bool InService(uint32_t upstream) const;
  bool Alive(uint32_t upstream) const { return this->agents[upstream]->alive; }
  size_t Upstreams() const { return this->agents.size(); }
  AgentCounters CountersOf(uint32_t upstream) const;
  uint64_t AcceptedBy(uint32_t upstream) const {
    return this->CountersOf(upstream).flows_accepted;
  }

 private:
  using Core = std::variant<Agent, naive::ModuloAgent>;

  struct Job {
    AnswerInfo answer;
    uint32_t work = 0;
    uint32_t attempt = 0;
    RequestPlan plan;
    std::set<uint32_t> parts;
    uint32_t sent = 0;
    uint32_t run = 0;  // Invalidates timers of an earlier run.
    bool running = false;
    bool ended = false;
    bool orphan = false;  // The agent that started it has been replaced.
  };
  struct AgentProcess {
    uint32_t service = 0;
    uint32_t slots = 2;
    InstanceId instance;
    Endpoint address;
    std::unique_ptr<Core> core;
    bool alive = true;
    bool frozen = false;
    // Had a fault; its failed work and flows count as lost with the upstream.
    bool faulted = false;
    uint64_t generation = 0;
    Millis lease;  // As known to control.
    Millis lease_held;
    Millis drained_at = Millis(-1);
    std::optional<uint64_t> accepted_at_drain;
    std::map<uint64_t, Job> jobs;
    uint32_t running = 0;
    uint32_t jobs_run = 0;
    std::vector<std::pair<AnswerInfo, std::string>> answers_while_frozen;
  };
  struct BalancerProcess {
    Endpoint address;
    std::unique_ptr<Balancer> core;
    bool alive = true;
    bool in_fabric = true;
  };
  struct CallerFlow {
    FlowPlan plan;
    FlowKey key;
    FlowNonce nonce;
    uint32_t request = 0;  // Position in the plan.
    uint32_t number = 0;   // Request number in the current use of the key.
    uint32_t work = 0;
    uint32_t attempt = 0;
    uint32_t epoch = 0;  // Invalidates timers.
    bool waiting = false;
    bool ended = false;
    bool established = false;
    std::optional<uint32_t> owner;
    Millis attempt_sent;
    Millis last_sent;
    Millis last_progress;
    std::set<uint32_t> chunks;
  };

  // Control.
  void Publish(uint32_t service);
  void SendView(uint32_t service, uint32_t agent, const ServiceView& view);
  void Join(uint32_t agent);
  void RemoveFromView(uint32_t agent, bool lost);
  void Renew(uint32_t agent, uint64_t generation);
  void ExpireLeases();
  void LeaveWhenDrained();

  // Processes.
  uint32_t StartAgent(uint32_t service, uint32_t slots, Endpoint address);
  void NewCore(uint32_t agent);
  void StartBalancer();
  void OnBalancer(uint32_t balancer, Endpoint from, DataMessage message);
  void OnAgent(uint32_t agent, Endpoint from, DataMessage message);
  void TickAgent(uint32_t agent, uint64_t generation);
  template <typename Call>
  void Run(uint32_t agent, Call call);
  void Dispatch(uint32_t agent, AgentOutput out);

  // Upstreams.
  void Deliver(uint32_t upstream, const UpstreamPacket& packet);
  void StartJob(uint32_t upstream, uint64_t key);
  void NextChunk(uint32_t upstream, uint64_t key, uint32_t run);
  void SendChunk(uint32_t upstream, const Job& job, uint32_t index);
  void Answer(uint32_t upstream, const AnswerInfo& answer, std::string payload);

  // Callers.
  void StartFlow(uint32_t flow);
  void SendRequest(uint32_t flow);
  void SendPackets(uint32_t flow, bool resent);
  void SendPacket(uint32_t flow, const PacketInfo& packet, std::string payload);
  void Resend(uint32_t flow, uint32_t epoch, Millis period);
  void OnCaller(uint32_t flow, DataMessage message);
  void OnAnswered(uint32_t flow);
  void OnFailed(uint32_t flow, const Refusal& refusal);
  void NextRequest(uint32_t flow);
  void ResetFlow(CallerFlow& flow);
  PacketInfo PacketOf(const CallerFlow& flow) const;

  void RecordFault(uint64_t* counter, const std::string& what);
  Millis RandomTimeWithin(int64_t below) {
    return this->Now() +
           Millis(1 + static_cast<int64_t>(this->random.Below(below)));
  }

  PoolConfig config;
  FakeNetwork network;
  Random random;
  std::vector<ServiceView> views;
  uint64_t revision = 0;
  uint64_t incarnations = 0;
  uint64_t nonces = 0;
  std::vector<std::unique_ptr<AgentProcess>> agents;
  std::vector<std::unique_ptr<BalancerProcess>> balancers;
  std::vector<std::unique_ptr<CallerFlow>> flows;
  std::map<Endpoint, uint32_t> key_users;
  std::vector<WorkRecord> works;
  uint64_t flows_lost = 0;
  uint64_t flows_given_up = 0;
  PoolFaults faults;
  std::string first_fault;
};

}  // namespace cornelhill
