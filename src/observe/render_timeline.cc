#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "cornelhill/observe/timeline.h"

namespace cornelhill {

namespace {

// Sizes of the page, in pixels.
constexpr int kTimeWidth = 220;
constexpr int kLaneWidth = 110;
constexpr int kNameWidth = 160;
constexpr int kCharWidth = 7;  // Upper estimate of the mean at 12 pixels.
constexpr int kHeaderHeight = 44;
constexpr int kRowHeight = 22;
constexpr size_t kLaneNameChars = 15;

std::string Join(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

// What identifies the objects of an event, as key=value pairs.
std::string Subject(const Event& event) {
  std::string text;
  const auto add = [&](const char* key, const std::string& value) {
    if (!text.empty()) text += ' ';
    text += std::string(key) + "=" + value;
  };
  if (event.flow != FlowKey()) add("flow", ToString(event.flow));
  if (event.nonce != FlowNonce()) {
    add("nonce", std::to_string(event.nonce.Value()));
  }
  if (event.service != ServiceId()) {
    add("service", std::to_string(event.service.Value()));
  }
  if (event.upstream != InstanceId()) {
    add("upstream", std::to_string(event.upstream.Value()));
  }
  if (event.revision != Revision()) {
    add("revision", std::to_string(event.revision.Value()));
  }
  if (!event.detail.Text().empty()) {
    if (!text.empty()) text += ' ';
    text += event.detail.Text();
  }
  return text;
}

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

struct GroupStyle {
  EventGroup group;
  std::string_view name;
  std::string_view colour;
};

// In the order of `EventGroup`. Blue, orange, green, red, purple and grey of
// the Okabe-Ito set, which people with colour vision deficiency can tell apart.
constexpr std::array kGroupStyles = {
    GroupStyle{EventGroup::kFlow, "flow", "#0072b2"},
    GroupStyle{EventGroup::kRequest, "request", "#b35900"},
    GroupStyle{EventGroup::kBucket, "bucket", "#007a5a"},
    GroupStyle{EventGroup::kUpstream, "upstream", "#c0392b"},
    GroupStyle{EventGroup::kControl, "control", "#8e3a80"},
    GroupStyle{EventGroup::kProcess, "process", "#555555"},
};

const GroupStyle& StyleOf(EventGroup group) {
  return kGroupStyles[static_cast<size_t>(group)];
}

std::string Number(int64_t value) { return std::to_string(value); }

std::string TextElement(int x, int y, std::string_view attributes,
                        std::string_view text) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) + "\" " +
         std::string(attributes) + ">" + Escape(text) + "</text>";
}

std::string Line(int x1, int y1, int x2, int y2, std::string_view attributes) {
  return "<line x1=\"" + Number(x1) + "\" y1=\"" + Number(y1) + "\" x2=\"" +
         Number(x2) + "\" y2=\"" + Number(y2) + "\" " +
         std::string(attributes) + "/>\n";
}

int LaneX(size_t lane) {
  return kTimeWidth + static_cast<int>(lane) * kLaneWidth + kLaneWidth / 2;
}

int RowY(size_t row) {
  return kHeaderHeight + static_cast<int>(row) * kRowHeight + kRowHeight / 2;
}

// The headings and the vertical line of each process; dashed where it did not
// answer.
std::string Lanes(const Timeline& timeline, int height) {
  std::string svg;
  for (size_t lane = 0; lane < timeline.processes.size(); ++lane) {
    const std::string& name = timeline.processes[lane];
    const bool answered =
        std::find(timeline.unanswered.begin(), timeline.unanswered.end(),
                  name) == timeline.unanswered.end();
    std::string shown = name;
    if (shown.size() > kLaneNameChars) {
      shown = shown.substr(0, kLaneNameChars - 1) + "~";
    }
    svg += "<g><title>" + Escape(name) + "</title>" +
           TextElement(LaneX(lane), 18, "class=\"lane\"", shown) + "</g>\n";
    if (!answered) {
      svg += TextElement(LaneX(lane), 33, "class=\"missing\"", "no answer");
    }
    svg += Line(LaneX(lane), kHeaderHeight - 6, LaneX(lane), height,
                answered ? "stroke=\"#b8b8b8\""
                         : "stroke=\"#c0392b\" stroke-dasharray=\"4 4\"");
  }
  return svg;
}

// Lines between consecutive events of a flow in different lanes. Each flow gets
// its own hue.
std::string FlowLines(const Timeline& timeline,
                      const std::map<std::string, size_t>& lanes) {
  std::string svg;
  std::map<FlowKey, size_t> latest;
  for (size_t row = 0; row < timeline.events.size(); ++row) {
    const Event& event = timeline.events[row];
    if (event.flow == FlowKey()) continue;
    const auto [found, inserted] = latest.try_emplace(event.flow, row);
    if (inserted) continue;
    const size_t from = lanes.at(timeline.events[found->second].process);
    const size_t to = lanes.at(event.process);
    if (from != to) {
      svg += Line(LaneX(from), RowY(found->second), LaneX(to), RowY(row),
                  "stroke=\"hsl(" + std::to_string(HashFlow(event.flow) % 360) +
                      ",60%,45%)\" stroke-width=\"1.5\"");
    }
    found->second = row;
  }
  return svg;
}

std::string Rows(const Timeline& timeline,
                 const std::map<std::string, size_t>& lanes, int label_x,
                 int width) {
  std::string svg;
  Millis previous;
  for (size_t row = 0; row < timeline.events.size(); ++row) {
    const Event& event = timeline.events[row];
    const EventKindInfo& info = InfoOf(event.kind);
    const std::string colour(StyleOf(info.group).colour);
    const int x = LaneX(lanes.at(event.process));
    const int y = RowY(row);
    const std::string time = ToString(event.time);
    svg +=
        "<g class=\"row\"><title>" +
        Escape(time + " " + event.process + ": " + std::string(info.meaning)) +
        "</title><rect x=\"0\" y=\"" + Number(y - kRowHeight / 2) +
        "\" width=\"" + Number(width) + "\" height=\"" + Number(kRowHeight) +
        "\"/>";
    // The date is in the heading.
    svg += TextElement(8, y + 4, "class=\"time\"", time.substr(11));
    if (row > 0) {
      svg += TextElement(
          kTimeWidth - 6, y + 4, "class=\"delta\"",
          "+" + Number((event.time.wall - previous).Count()) + " ms");
    }
    svg += Line(x, y, label_x - 6, y, "class=\"guide\"");
    svg += "<circle cx=\"" + Number(x) + "\" cy=\"" + Number(y) +
           "\" r=\"5\" fill=\"" + colour + "\"/>";
    svg += TextElement(label_x, y + 4,
                       "class=\"event\" fill=\"" + colour + "\"", info.name);
    svg += TextElement(label_x + kNameWidth, y + 4, "class=\"subject\"",
                       Subject(event));
    svg += "</g>\n";
    previous = event.time.wall;
  }
  return svg;
}

}  // namespace

std::string RenderText(const Timeline& timeline) {
  size_t process_width = 0;
  size_t name_width = 0;
  for (const Event& event : timeline.events) {
    process_width = std::max(process_width, event.process.size());
    name_width = std::max(name_width, InfoOf(event.kind).name.size());
  }
  std::string text;
  for (const Event& event : timeline.events) {
    const std::string_view name = InfoOf(event.kind).name;
    const std::string time = ToString(event.time);
    text += time;
    // The counter has up to five digits; most times have one or two.
    text.append(time.size() < 28 ? 28 - time.size() : 1, ' ');
    text += event.process;
    text.append(process_width - event.process.size() + 2, ' ');
    text += name;
    const std::string subject = Subject(event);
    if (!subject.empty()) {
      text.append(name_width - name.size() + 2, ' ');
      text += subject;
    }
    text += '\n';
  }
  if (timeline.events.empty()) text += "no events\n";
  if (!timeline.unanswered.empty()) {
    text += "no answer from: " + Join(timeline.unanswered) + "\n";
  }
  if (!timeline.incomplete.empty()) {
    text += "earlier events may be missing from: " + Join(timeline.incomplete) +
            "\n";
  }
  return text;
}

std::string RenderJson(const Timeline& timeline) {
  nlohmann::ordered_json events = nlohmann::ordered_json::array();
  for (const Event& event : timeline.events) {
    nlohmann::ordered_json out = {
        {"time", ToString(event.time)},  {"wall_ms", event.time.wall.Count()},
        {"logical", event.time.logical}, {"process", event.process},
        {"sequence", event.sequence},    {"event", InfoOf(event.kind).name},
    };
    if (event.flow != FlowKey()) out["flow"] = ToString(event.flow);
    // Identifiers of 64 bits are strings, since many JSON readers keep numbers
    // as doubles.
    if (event.nonce != FlowNonce()) {
      out["nonce"] = std::to_string(event.nonce.Value());
    }
    if (event.service != ServiceId()) out["service"] = event.service.Value();
    if (event.upstream != InstanceId()) {
      out["upstream"] = std::to_string(event.upstream.Value());
    }
    if (event.revision != Revision()) out["revision"] = event.revision.Value();
    if (!event.detail.Text().empty()) out["detail"] = event.detail.Text();
    events.push_back(std::move(out));
  }
  const nlohmann::ordered_json document = {
      {"processes", timeline.processes},
      {"unanswered", timeline.unanswered},
      {"incomplete", timeline.incomplete},
      {"events", std::move(events)},
  };
  return document.dump(2, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

std::string RenderHtml(const Timeline& timeline) {
  std::map<std::string, size_t> lanes;
  for (const std::string& name : timeline.processes) {
    lanes.emplace(name, lanes.size());
  }
  const int label_x =
      kTimeWidth + static_cast<int>(lanes.size()) * kLaneWidth + 20;
  size_t subject_chars = 0;
  for (const Event& event : timeline.events) {
    subject_chars = std::max(subject_chars, Subject(event).size());
  }
  const int width =
      label_x + kNameWidth + static_cast<int>(subject_chars) * kCharWidth;
  const int height = RowY(timeline.events.size()) + kRowHeight / 2;

  std::string html =
      "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
      "<title>Timeline</title>\n<style>\n"
      "body{font-family:sans-serif;font-size:13px;margin:16px;color:#222}\n"
      "h1{font-size:18px}\n"
      ".warning{color:#c0392b}\n"
      ".key{display:inline-block;width:10px;height:10px;border-radius:5px;"
      "margin:0 4px 0 14px}\n"
      "svg{font-family:sans-serif;font-size:12px}\n"
      ".lane{text-anchor:middle;font-weight:bold}\n"
      ".missing{text-anchor:middle;fill:#c0392b;font-size:11px}\n"
      ".time{fill:#444;font-family:monospace}\n"
      ".delta{fill:#888;text-anchor:end;font-size:11px}\n"
      ".event{font-weight:bold}\n"
      ".subject{fill:#444}\n"
      ".guide{stroke:#e4e4e4}\n"
      ".row rect{fill:transparent}\n"
      ".row:hover rect{fill:#ffd84d;fill-opacity:0.4}\n"
      "</style>\n</head>\n<body>\n<h1>Timeline</h1>\n";
  html += "<p>" + std::to_string(timeline.events.size()) + " events of " +
          std::to_string(timeline.processes.size()) + " processes";
  if (!timeline.events.empty()) {
    html += ", " + ToString(timeline.events.front().time) + " to " +
            ToString(timeline.events.back().time);
  }
  html += "</p>\n";
  if (!timeline.unanswered.empty()) {
    html += "<p class=\"warning\">No answer from: " +
            Escape(Join(timeline.unanswered)) + "</p>\n";
  }
  if (!timeline.incomplete.empty()) {
    html += "<p class=\"warning\">Earlier events may be missing from: " +
            Escape(Join(timeline.incomplete)) + "</p>\n";
  }
  html += "<p>";
  for (const GroupStyle& style : kGroupStyles) {
    html +=
        "<span class=\"key\" style=\"background:" + std::string(style.colour) +
        "\"></span>" + std::string(style.name);
  }
  html += "</p>\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
          Number(width) + "\" height=\"" + Number(height) + "\">\n";
  html += Lanes(timeline, height);
  html += FlowLines(timeline, lanes);
  html += Rows(timeline, lanes, label_x, width);
  html += "</svg>\n</body>\n</html>\n";
  return html;
}

}  // namespace cornelhill
