#include "tools/soak/soak_run.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <utility>

namespace cornelhill::soak {

namespace {

constexpr Millis kCatchUp{4000};
constexpr Millis kGrace{6000};
constexpr Millis kRecovery{12000};
constexpr Millis kStabilityWindow{4000};
constexpr Millis kRestartDelay{300};
constexpr Millis kAcknowledgement{5000};
constexpr Millis kAcknowledgementPerRoute{3};
constexpr Millis kFirstOrderLimit{20000};
constexpr uint32_t kFirstBalancerHost = 101;
constexpr uint32_t kFirstUpstreamHost = 131;
constexpr uint32_t kFirstClientHost = 201;
constexpr uint32_t kListenerHost = 200;

uint32_t NetworkOf(uint64_t seed) {
  Random random(seed ^ RandomSeed());
  return 127U << 24 | static_cast<uint32_t>(10 + random.Below(230)) << 16 |
         static_cast<uint32_t>(1 + random.Below(250)) << 8;
}

std::string IpText(uint32_t address) {
  const std::string text = ToString(Endpoint{address, 0});
  return text.substr(0, text.find(':'));
}

void SleepFor(Millis time) {
  if (time > Millis(0)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time.Count()));
  }
}

Millis Between(Random& random, int64_t low, int64_t high) {
  return Millis(low + static_cast<int64_t>(
                          random.Below(static_cast<uint64_t>(high - low + 1))));
}

}  // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings(settings),
      ports(PickPorts(settings.seed ^ RandomSeed())),
      network(NetworkOf(settings.seed)),
      judge(ConfigBounds()),
      configurations(settings.seed, IpText(network + kListenerHost),
                     settings.size.idle_routes),
      operators(core_list, judge, [this](const Endpoint& by) {
        const std::lock_guard lock(this->mutex);
        this->last_acknowledged_by = by;
      }) {}

SoakRun::~SoakRun() {
  for (const auto& list : {this->cores, this->others}) {
    for (const auto& managed : list) managed->instance->Kill();
  }
}

std::shared_ptr<SoakRun::Managed> SoakRun::Make(
    const std::string& role, uint32_t host, const std::string& failure_domain,
    const std::string& service) {
  const std::string ip = IpText(this->network + host);
  auto out = std::make_shared<Managed>();
  out->mutex = std::make_unique<std::mutex>();
  out->instance =
      std::make_unique<Instance>(role + "-" + std::to_string(host), role, ip,
                                 failure_domain, this->settings.folder);
  platform_stand_in::ProcessSettings& process = out->instance->settings;
  process.service = service;
  process.tolerated_failures = this->settings.size.tolerated_failures;
  process.control = this->ports.control;
  process.packets = this->ports.packets;
  process.ready = this->ports.ready;
  process.outbound = this->ports.outbound;
  process.app = this->ports.app;
  process.internal_first = this->ports.internal_first;
  return out;
}

Endpoint SoakRun::ControlOf(const Managed& managed) const {
  return ParseEndpoint(managed.instance->settings.address + ":" +
                       std::to_string(this->ports.control))
      .value();
}

void SoakRun::Start(Managed& managed, bool bootstrap) {
  std::vector<std::string> seeds;
  for (const auto& core : this->Cores()) {
    if (seeds.size() < 3) seeds.push_back(ToString(this->ControlOf(*core)));
  }
  managed.instance->settings.seeds = seeds;
  managed.instance->settings.bootstrap = bootstrap;
  const Result<void> done =
      managed.instance->Start(this->settings.daemon, this->settings.templates);
  if (!done.has_value()) throw std::runtime_error(done.error().message);
}

std::vector<std::shared_ptr<SoakRun::Managed>> SoakRun::Cores() {
  const std::lock_guard lock(this->mutex);
  return this->cores;
}

std::vector<std::shared_ptr<SoakRun::Managed>> SoakRun::Others() {
  const std::lock_guard lock(this->mutex);
  return this->others;
}

std::shared_ptr<SoakRun::Managed> SoakRun::PickCore(Random& random) {
  const std::lock_guard lock(this->mutex);
  return this->cores[random.Below(this->cores.size())];
}

void SoakRun::PublishCores() {
  std::vector<Endpoint> out;
  for (const auto& core : this->Cores()) out.push_back(this->ControlOf(*core));
  this->core_list.Set(std::move(out));
}

std::shared_ptr<SoakRun::Managed> SoakRun::AddCore(
    const std::string& failure_domain) {
  uint32_t host = 0;
  {
    const std::lock_guard lock(this->mutex);
    host = this->next_core_host++;
  }
  auto core = this->Make("core", host, failure_domain);
  const std::lock_guard lock(this->mutex);
  this->cores.push_back(core);
  return core;
}

void SoakRun::RemoveCore(const std::shared_ptr<Managed>& core) {
  {
    const std::lock_guard lock(this->mutex);
    std::erase(this->cores, core);
  }
  this->PublishCores();
}

void SoakRun::StartDeployment() {
  const auto domain = [](size_t i) {
    return std::string("zone-") + static_cast<char>('a' + i % 3);
  };
  for (size_t i = 0; i < this->settings.size.cores; ++i) {
    this->AddCore(domain(i));
  }
  std::vector<Endpoint> clients;
  for (size_t i = 0; i < this->settings.size.balancers; ++i) {
    const auto host = static_cast<uint32_t>(i);
    this->others.push_back(
        this->Make("entry", kFirstBalancerHost + host, domain(i)));
    clients.push_back(
        {this->network + kFirstClientHost + host, this->ports.packets});
  }
  this->prober = std::make_unique<Prober>(this->judge, std::move(clients),
                                          this->network + kListenerHost);
  for (size_t i = 0; i < 2 * this->settings.size.upstreams_per_service; ++i) {
    const uint32_t host = kFirstUpstreamHost + static_cast<uint32_t>(i);
    const std::string service = i % 2 == 0 ? "alpha" : "beta";
    const auto agent = this->Make("sidecar", host, domain(i / 2), service);
    const uint32_t address = this->network + host;
    this->others.push_back(agent);
    this->upstreams.push_back(std::make_unique<UpstreamStub>(
        *this->prober, service, Endpoint{address, this->ports.app},
        Endpoint{address, this->ports.outbound},
        Endpoint{address, this->ports.control}));
  }
  this->PublishCores();
  for (const auto& core : this->Cores()) this->Start(*core, true);
  for (const auto& other : this->Others()) this->Start(*other, true);
}

// Kills core members while they set up their data directories. Their disks are
// kept, so the group must be formed nevertheless. At most one is restarted
// without the setting of the first start: two that were killed before they
// wrote anything cannot be told from two that lost their disks (seed 822).
void SoakRun::DisturbFirstStart(Random& random) {
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMajority,
                                                     {}, MonotonicNow());
  bool all_with_setting = true;
  for (const auto& core : this->Cores()) {
    if (random.Chance(0.5)) continue;
    this->Note("kill " + core->instance->settings.name + " at its first start");
    SleepFor(Between(random, 0, 60));
    const std::lock_guard lock(*core->mutex);
    core->instance->Kill();
    SleepFor(Between(random, 0, 300));
    const bool with_setting = !all_with_setting || random.Chance(0.5);
    all_with_setting = all_with_setting && with_setting;
    this->Start(*core, with_setting);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
}

SoakResult SoakRun::Run() {
  this->started = MonotonicNow();
  this->end = Millis(INT64_MAX);
  this->StartDeployment();
  Random random(this->settings.seed);
  if (this->settings.only_fault.empty()) this->DisturbFirstStart(random);
  this->operators.Order(this->configurations.Next(), 0, kFirstOrderLimit,
                        random);
  if (this->settings.only_fault.empty() && random.Chance(0.3)) {
    this->Note("lose_disk of the first acknowledgement");
    this->LoseDiskOfAcknowledger(random);
  }
  SleepFor(kCatchUp + kStabilityWindow);
  this->end = MonotonicNow() + this->settings.duration;
  std::vector<std::thread> threads;
  const uint64_t seed = this->settings.seed * 16;
  threads.emplace_back([&] { this->RunOperator(seed + 1); });
  threads.emplace_back([&] { this->RunOperator(seed + 2); });
  threads.emplace_back([&] { this->RunReader(seed + 3); });
  threads.emplace_back([&] { this->RunProber(seed + 4); });
  threads.emplace_back([&] { this->RunCoreFaults(seed + 5); });
  threads.emplace_back([&] { this->RunOtherFaults(seed + 6); });
  std::thread watch([this] { this->WatchProcesses(); });
  for (std::thread& thread : threads) thread.join();
  SleepFor(kRecovery);
  this->operators.Order(this->configurations.Next(), 0, Millis(5000), random);
  this->operators.ReadAtTheEnd(kStabilityWindow, random);
  this->stopping = true;
  watch.join();
  const std::lock_guard lock(this->mutex);
  return {this->judge.Acknowledged(), this->judge.Probes(), this->faults,
          this->judge.Violations()};
}

void SoakRun::RunOperator(uint64_t seed) {
  Random random(seed);
  std::vector<Configuration> earlier;
  const auto routes =
      static_cast<int64_t>(kRoutedPorts) + this->settings.size.idle_routes;
  const Millis limit = kAcknowledgement + kAcknowledgementPerRoute * routes;
  while (!this->Ending()) {
    // A burst of changes, then silence in which none may be missing anywhere.
    const Millis burst_end = MonotonicNow() + Between(random, 500, 3000);
    while (MonotonicNow() < burst_end && !this->Ending()) {
      if (random.Chance(0.1)) {
        this->operators.Order(this->configurations.NextInvalid(), 0, limit,
                              random);
      } else if (!earlier.empty() && random.Chance(0.1)) {
        this->operators.Order(earlier[random.Below(earlier.size())], 0, limit,
                              random);
      } else {
        const Configuration next = this->configurations.Next();
        if (this->operators.Order(next, 0.2, limit, random)) {
          earlier.push_back(next);
        }
      }
      this->Sleep(Between(random, 0, 60));
    }
    this->Sleep(Between(random, 3000, 7000));
  }
}

void SoakRun::RunReader(uint64_t seed) {
  Random random(seed);
  while (!this->Ending()) {
    this->operators.Read(random);
    this->Sleep(Between(random, 10, 60));
  }
}

void SoakRun::RunProber(uint64_t seed) {
  Random random(seed);
  while (!this->Ending()) {
    const auto others = this->Others();
    const size_t index = random.Below(this->settings.size.balancers);
    const Instance& balancer = *others[index]->instance;
    this->prober->Open({balancer.settings.name, balancer.incarnation,
                        ParseEndpoint(balancer.settings.address + ":" +
                                      std::to_string(this->ports.packets))
                            .value()},
                       index, random);
    this->Sleep(Millis(4));
  }
}

void SoakRun::WatchProcesses() {
  while (!this->stopping) {
    auto all = this->Cores();
    for (const auto& other : this->Others()) all.push_back(other);
    for (const auto& managed : all) {
      const std::unique_lock lock(*managed->mutex, std::try_to_lock);
      if (!lock.owns_lock()) continue;
      const int status = managed->instance->PollEnd();
      if (status < 0) continue;
      this->judge.OnProcessEnded(MonotonicNow() - this->started,
                                 managed->instance->settings.name, status);
      SleepFor(kRestartDelay);
      this->Start(*managed, false);
    }
    SleepFor(Millis(50));
  }
}

void SoakRun::Note(const std::string& fault) {
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ",
                static_cast<double>(MonotonicNow().Count()) / 1000);
  const std::lock_guard lock(this->mutex);
  this->faults.push_back(time + fault);
}

void SoakRun::Sleep(Millis time) const {
  SleepFor(std::min(time, this->end - MonotonicNow()));
}

void SoakRun::RunRandomFault(const std::vector<NamedFault>& faults,
                             Random& random) {
  const NamedFault& fault = faults[random.Below(faults.size())];
  if (!this->settings.only_fault.empty() &&
      this->settings.only_fault != fault.name) {
    return;
  }
  this->Note(fault.name);
  (this->*fault.run)(random);
}

void SoakRun::RunCoreFaults(uint64_t seed) {
  static const std::vector<NamedFault> faults = {
      {"kill_core", &SoakRun::KillCore},
      {"stop_core", &SoakRun::StopCore},
      {"freeze_core", &SoakRun::FreezeCore},
      {"lose_disk", &SoakRun::LoseDiskAfterAcknowledgement},
      {"replace_planned", &SoakRun::ReplaceCorePlanned},
      {"replace_lost", &SoakRun::ReplaceLostCore},
      {"fill_disks", &SoakRun::FillDisksInTurn},
      {"kill_all", &SoakRun::KillAllCores},
      {"hang_up", &SoakRun::HangUpCores}};
  Random random(seed);
  while (!this->Ending()) this->RunRandomFault(faults, random);
}

void SoakRun::KillCore(Random& random) {
  const auto core = this->PickCore(random);
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  {
    const std::lock_guard lock(*core->mutex);
    core->instance->Kill();
    SleepFor(Between(random, 100, 1500));
    this->Start(*core, false);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
  SleepFor(kCatchUp);
}

void SoakRun::StopCore(Random& random) {
  const auto core = this->PickCore(random);
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  {
    const std::lock_guard lock(*core->mutex);
    core->instance->Stop(kGrace);
    SleepFor(Between(random, 0, 1000));
    this->Start(*core, false);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
  SleepFor(kCatchUp);
}

void SoakRun::FreezeCore(Random& random) {
  const auto core = this->PickCore(random);
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  {
    const std::lock_guard lock(*core->mutex);
    core->instance->Signal(SIGSTOP);
    SleepFor(Between(random, 300, 7000));
    core->instance->Signal(SIGCONT);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
  SleepFor(kCatchUp);
}

void SoakRun::LoseDiskAfterAcknowledgement(Random& random) {
  {
    const std::lock_guard lock(this->mutex);
    this->last_acknowledged_by.reset();
  }
  std::optional<Endpoint> by;
  while (!by.has_value() && !this->Ending()) {
    SleepFor(Millis(1));
    const std::lock_guard lock(this->mutex);
    by = this->last_acknowledged_by;
  }
  if (by.has_value()) this->LoseDiskOfAcknowledger(random);
}

void SoakRun::LoseDiskOfAcknowledger(Random& random) {
  std::optional<Endpoint> by;
  {
    const std::lock_guard lock(this->mutex);
    by = this->last_acknowledged_by;
  }
  const auto all = this->Cores();
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const auto& core) {
        return by.has_value() && this->ControlOf(*core) == *by;
      });
  if (found == all.end()) return;
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  {
    const std::lock_guard lock(*(*found)->mutex);
    (*found)->instance->Kill();
    (*found)->instance->LoseDisk();
    SleepFor(Between(random, 300, 3000));
    this->Start(**found, false);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
  SleepFor(kCatchUp);
}

void SoakRun::ReplaceCorePlanned(Random& random) {
  const auto old = this->PickCore(random);
  const auto successor = this->AddCore(old->instance->settings.failure_domain);
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  {
    const std::lock_guard lock(*successor->mutex);
    this->Start(*successor, false);
  }
  this->PublishCores();
  SleepFor(kCatchUp + Between(random, 0, 1000));
  {
    const std::lock_guard lock(*old->mutex);
    old->instance->Stop(kGrace);
  }
  this->RemoveCore(old);
  this->judge.EndDisturbance(number, MonotonicNow());
}

void SoakRun::ReplaceLostCore(Random& random) {
  const auto old = this->PickCore(random);
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  {
    const std::lock_guard lock(*old->mutex);
    old->instance->Kill();
  }
  this->RemoveCore(old);
  SleepFor(Between(random, 200, 2000));
  const auto successor = this->AddCore(old->instance->settings.failure_domain);
  {
    const std::lock_guard lock(*successor->mutex);
    this->Start(*successor, false);
  }
  this->PublishCores();
  SleepFor(kCatchUp);
  this->judge.EndDisturbance(number, MonotonicNow());
}

void SoakRun::FillDisksInTurn(Random& random) {
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMinority,
                                                     {}, MonotonicNow());
  for (const auto& core : this->Cores()) {
    const std::lock_guard lock(*core->mutex);
    core->instance->SetDiskFull(true);
    SleepFor(Between(random, 500, 4000));
    core->instance->SetDiskFull(false);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
  SleepFor(kCatchUp);
}

void SoakRun::KillAllCores(Random& random) {
  const size_t number = this->judge.BeginDisturbance(Disturbed::kCoreMajority,
                                                     {}, MonotonicNow());
  std::vector<std::unique_lock<std::mutex>> locks;
  const auto all = this->Cores();
  for (const auto& core : all) locks.emplace_back(*core->mutex);
  for (const auto& core : all) core->instance->Kill();
  for (const auto& core : all) {
    SleepFor(Between(random, 0, 900) - Millis(600));
    this->Start(*core, false);
  }
  locks.clear();
  this->judge.EndDisturbance(number, MonotonicNow());
  SleepFor(kCatchUp);
}

void SoakRun::HangUpCores(Random& random) {
  for (int i = 0; i < 40; ++i) {
    for (const auto& core : this->Cores()) {
      const std::unique_lock lock(*core->mutex, std::try_to_lock);
      if (lock.owns_lock()) core->instance->Signal(SIGHUP);
    }
    this->Sleep(Between(random, 1, 30));
  }
}

void SoakRun::RunOtherFaults(uint64_t seed) {
  static const std::vector<NamedFault> faults = {
      {"restart_other", &SoakRun::RestartOther},
      {"freeze_other", &SoakRun::FreezeOther},
      {"odd_reports", &SoakRun::SendOddReports}};
  Random random(seed);
  while (!this->Ending()) {
    this->RunRandomFault(faults, random);
    this->Sleep(Between(random, 500, 4000));
  }
}

void SoakRun::RestartOther(Random& random) {
  const auto others = this->Others();
  const auto& other = others[random.Below(others.size())];
  const size_t number = this->judge.BeginDisturbance(
      Disturbed::kBalancer, other->instance->settings.name, MonotonicNow());
  {
    const std::lock_guard lock(*other->mutex);
    if (random.Chance(0.5)) {
      other->instance->Kill();
    } else {
      other->instance->Stop(kGrace);
    }
    SleepFor(Between(random, 0, 1000));
    this->Start(*other, false);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
}

void SoakRun::FreezeOther(Random& random) {
  const auto others = this->Others();
  const auto& other = others[random.Below(others.size())];
  const size_t number = this->judge.BeginDisturbance(
      Disturbed::kBalancer, other->instance->settings.name, MonotonicNow());
  {
    const std::lock_guard lock(*other->mutex);
    other->instance->Signal(SIGSTOP);
    SleepFor(Between(random, 300, 7000));
    other->instance->Signal(SIGCONT);
  }
  this->judge.EndDisturbance(number, MonotonicNow());
}

void SoakRun::SendOddReports(Random& random) {
  for (int i = 0; i < 5; ++i) {
    this->upstreams[random.Below(this->upstreams.size())]->SendOddReport(
        random);
  }
}

}  // namespace cornelhill::soak
