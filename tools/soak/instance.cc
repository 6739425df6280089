#include "tools/soak/instance.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <sstream>
#include <thread>
#include <utility>

#include "cornelhill/base/random.h"
#include "tools/soak/settings_template.h"

namespace cornelhill::soak {

namespace {

constexpr uint16_t kFirstPort = 20000;
constexpr uint16_t kPortRange = 10000;
constexpr uint16_t kPortCount = 24;
constexpr std::chrono::milliseconds kPollPeriod{2};

bool PortIsFree(uint16_t port) {
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const bool free = bind(probe, reinterpret_cast<const sockaddr*>(&address),
                           sizeof address) == 0;
    close(probe);
    if (!free) return false;
  }
  return true;
}

// Runs `start` on a thread that lives as long as this process. The parent death
// signal of a process is sent when the thread that started it ends.
pid_t RunOnLauncher(const std::function<pid_t()>& start) {
  static boost::asio::thread_pool* const launcher =
      new boost::asio::thread_pool(1);
  std::promise<pid_t> started;
  boost::asio::post(*launcher, [&] { started.set_value(start()); });
  return started.get_future().get();
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) return Fail(ErrorCode::kNotFound, path + ": cannot be read");
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

Ports PickPorts(uint64_t seed) {
  Random random(seed);
  while (true) {
    const auto first =
        static_cast<uint16_t>(kFirstPort + random.Below(kPortRange));
    bool free = true;
    for (uint16_t i = 0; i < kPortCount && free; ++i) {
      free = PortIsFree(static_cast<uint16_t>(first + i));
    }
    if (!free) continue;
    const auto port = [first](int offset) {
      return static_cast<uint16_t>(first + offset);
    };
    return {port(0), port(1), port(2), port(3), port(4), port(5)};
  }
}

Instance::Instance(std::string name, std::string role, std::string address,
                   std::string failure_domain, std::string folder)
    : role(std::move(role)), folder(std::move(folder)) {
  this->settings.name = std::move(name);
  this->settings.address = std::move(address);
  this->settings.failure_domain = std::move(failure_domain);
  this->settings.data_directory = this->Path("data");
  std::filesystem::create_directories(this->Path("data"));
}

std::string Instance::Path(const std::string& file) const {
  return this->folder + "/" + this->settings.name + "/" + file;
}

Result<void> Instance::WriteSettings(const std::string& templates) const {
  BOOST_OUTCOME_TRY(text,
                    ReadFile(templates + "/" + this->role + ".json.tmpl"));
  BOOST_OUTCOME_TRY(
      filled,
      FillTemplate(text, platform_stand_in::TemplateValues(this->settings)));
  const std::string path = this->Path("settings.json");
  std::ofstream(path + ".new") << filled;
  std::filesystem::rename(path + ".new", path);
  return boost::outcome_v2::success();
}

Result<void> Instance::Start(const std::string& daemon,
                             const std::string& templates) {
  BOOST_OUTCOME_TRY(this->WriteSettings(templates));
  std::filesystem::create_directories(this->Path("data"));
  const std::string config = "--config=" + this->Path("settings.json");
  const std::string log = this->Path("log");
  const pid_t parent = getpid();
  const pid_t child = RunOnLauncher([&] {
    const pid_t forked = fork();
    if (forked != 0) return forked;
    // The process does not outlive a soak that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    // An ignored signal stays ignored in the program that is started.
    std::signal(SIGPIPE, SIG_DFL);
    std::signal(SIGXFSZ, SIG_DFL);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(daemon.c_str(), daemon.c_str(), config.c_str(), nullptr);
    _exit(127);
  });
  if (child < 0)
    return Fail(ErrorCode::kIo, this->settings.name + ": fork failed");
  this->process = child;
  ++this->incarnation;
  return boost::outcome_v2::success();
}

void Instance::Signal(int signal) const {
  if (this->process > 0) kill(this->process, signal);
}

void Instance::Stop(Millis grace) {
  if (this->process <= 0) return;
  this->Signal(SIGTERM);
  const Millis until = MonotonicNow() + grace;
  while (MonotonicNow() < until) {
    if (waitpid(this->process, nullptr, WNOHANG) == this->process) {
      this->process = 0;
      return;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  this->Kill();
}

void Instance::Kill() {
  if (this->process <= 0) return;
  this->Signal(SIGKILL);
  waitpid(this->process, nullptr, 0);
  this->process = 0;
}

void Instance::LoseDisk() const {
  std::error_code ignored;
  std::filesystem::remove_all(this->Path("data"), ignored);
}

void Instance::SetDiskFull(bool full) const {
  if (this->process <= 0) return;
  rlimit limit{};
  prlimit(this->process, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  prlimit(this->process, RLIMIT_FSIZE, &limit, nullptr);
}

int Instance::PollEnd() {
  int status = 0;
  if (this->process <= 0 ||
      waitpid(this->process, &status, WNOHANG) != this->process) {
    return -1;
  }
  this->process = 0;
  return status;
}

}  // namespace cornelhill::soak
