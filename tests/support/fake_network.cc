#include "tests/support/fake_network.h"

#include <algorithm>

namespace cornelhill {

void FakeNetwork::Attach(Endpoint address, uint32_t domain, Receive receive) {
  this->processes[address] =
      Process{domain, ++this->generations, std::move(receive)};
}

void FakeNetwork::Detach(Endpoint address) {
  this->processes.erase(address);
  this->frozen.erase(address);
}

void FakeNetwork::Continue(Endpoint address) {
  const auto found = this->frozen.find(address);
  if (found == this->frozen.end()) return;
  const auto waiting = std::move(found->second);
  this->frozen.erase(found);
  for (const auto& [from, message] : waiting) {
    const auto process = this->processes.find(address);
    if (process != this->processes.end())
      process->second.receive(from, message);
  }
}

Millis FakeNetwork::Delay(uint32_t from, uint32_t to) {
  Millis delay(1);
  if (from != to && from != kCallerDomain && to != kCallerDomain) {
    delay = Millis(3 + static_cast<int64_t>(this->random.Below(3)));
  }
  if (this->faults.jitter > Millis()) {
    delay += Millis(static_cast<int64_t>(
        this->random.Below(this->faults.jitter.Count() + 1)));
  }
  return delay;
}

void FakeNetwork::Send(Endpoint from, Endpoint to, DataMessage message) {
  const auto target = this->processes.find(to);
  const auto source = this->processes.find(from);
  if (target == this->processes.end() || source == this->processes.end() ||
      this->cuts.contains({from, to}) ||
      this->random.Chance(this->faults.loss)) {
    return;
  }
  Millis at =
      this->now + this->Delay(source->second.domain, target->second.domain);
  const auto extra_delay = [this] {
    return Millis(static_cast<int64_t>(
        this->random.Below(this->faults.late.Count() + 1)));
  };
  if (this->random.Chance(this->faults.reorder)) at += extra_delay();
  const uint64_t generation = target->second.generation;
  if (this->random.Chance(this->faults.duplicate)) {
    this->At(at + extra_delay(), [this, from, to, generation, message] {
      this->Deliver(from, to, generation, message);
    });
  }
  this->At(
      at, [this, from, to, generation, message = std::move(message)]() mutable {
        this->Deliver(from, to, generation, std::move(message));
      });
}

void FakeNetwork::Deliver(Endpoint from, Endpoint to, uint64_t generation,
                          DataMessage message) {
  const auto process = this->processes.find(to);
  // Messages to a replaced process are lost: its successor has a new socket.
  if (process == this->processes.end() ||
      process->second.generation != generation) {
    return;
  }
  const auto waiting = this->frozen.find(to);
  if (waiting != this->frozen.end()) {
    waiting->second.emplace_back(from, std::move(message));
    return;
  }
  // Copied, since the handler may attach or detach processes.
  const Receive receive = process->second.receive;
  receive(from, std::move(message));
}

void FakeNetwork::At(Millis when, std::function<void()> run) {
  this->events.push_back(
      {std::max(when, this->now), ++this->order, std::move(run)});
  std::push_heap(this->events.begin(), this->events.end());
}

void FakeNetwork::RunUntil(Millis until) {
  while (!this->events.empty() && this->events.front().at <= until) {
    std::pop_heap(this->events.begin(), this->events.end());
    const Event next = std::move(this->events.back());
    this->events.pop_back();
    this->now = next.at;
    next.run();
  }
  this->now = until;
}

}  // namespace cornelhill
