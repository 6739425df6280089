#include "cornelhill/base/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace cornelhill {

namespace {

constexpr int kWarn = 1;
constexpr int kError = 2;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\t\\") != value.npos;
}

void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  out += '"';
}

log4cplus::Logger& Output() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

}  // namespace

void InitLogging(const std::string& process) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" + process + " %m%n"));
  Output().removeAllAppenders();
  Output().addAppender(appender);
  Output().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

LogLine::LogLine(std::string_view event) : text("event=") {
  this->text += event;
}

LogLine::~LogLine() {
  switch (this->level) {
    case kWarn:
      LOG4CPLUS_WARN(Output(), this->text);
      break;
    case kError:
      LOG4CPLUS_ERROR(Output(), this->text);
      break;
    default:
      LOG4CPLUS_INFO(Output(), this->text);
  }
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  this->text += ' ';
  this->text += key;
  this->text += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(this->text, value);
  } else {
    this->text += value;
  }
  return *this;
}

LogLine& LogLine::Warn() {
  this->level = kWarn;
  return *this;
}

LogLine& LogLine::Error() {
  this->level = kError;
  return *this;
}

}  // namespace cornelhill
