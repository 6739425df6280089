#include "cornelhill/base/process_signals.h"

#include <csignal>

namespace cornelhill {

void IgnoreWriteSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

}  // namespace cornelhill
