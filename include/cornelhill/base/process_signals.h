#pragma once

namespace cornelhill {

// Ignores the signals that by default end a process whose write fails: to a
// closed connection or pipe, or beyond the limit of file sizes. The write then
// fails with an error. Call at the start of a program, before other threads
// run.
void IgnoreWriteSignals();

}  // namespace cornelhill
