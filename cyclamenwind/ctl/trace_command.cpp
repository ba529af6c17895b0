#include "cyclamenwind/ctl/commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr size_t IndentPerDepth = 2;

struct LogLine {
  std::string Time;
  std::string Request;
  std::string Text;
};

// Log lines of one request, and counts over all files read.
struct Trace {
  std::vector<LogLine> Lines;
  size_t LinesRead = 0;
  uint64_t DroppedLines = 0; // Lines that the daemons' log budgets dropped.
};

// Returns the value of Key in a line of key=value pairs, or "" if it is absent.
// Text must begin with a space. The value must not be quoted; those of the keys
// used here never are.
std::string valueOf(const std::string &Text, const std::string &Key) {
  std::string Prefix = " " + Key + "=";
  size_t Position = Text.find(Prefix);
  if (Position == std::string::npos)
    return "";
  size_t Begin = Position + Prefix.size();
  return Text.substr(Begin, Text.find(' ', Begin) - Begin);
}

// Returns whether Request is Id or a call made while Id was executed.
bool belongsTo(const std::string &Request, const std::string &Id) {
  return Request == Id || Request.starts_with(Id + ".");
}

void readLines(std::istream &Stream, const std::string &Id, Trace &Collected) {
  std::string Text;
  while (std::getline(Stream, Text)) {
    ++Collected.LinesRead;
    std::string Padded = " " + Text;
    std::string DroppedText = valueOf(Padded, "dropped_before");
    if (!DroppedText.empty())
      Collected.DroppedLines += std::strtoull(DroppedText.c_str(), nullptr, 10);
    std::string Request = valueOf(Padded, "request");
    if (belongsTo(Request, Id))
      Collected.Lines.push_back({valueOf(Padded, "time"), Request, Text});
  }
}

// Returns the number of calls that enclose Request.
size_t depthOf(const std::string &Request) {
  return static_cast<size_t>(std::count(Request.begin(), Request.end(), '.'));
}

} // namespace

CommandResult trace(const CommandLine &Line) {
  const std::string &Id = Line.Arguments[0];
  Trace Collected;
  for (size_t I = 1; I < Line.Arguments.size(); ++I) {
    const std::string &Name = Line.Arguments[I];
    if (Name == "-") {
      readLines(std::cin, Id, Collected);
      continue;
    }
    std::ifstream File(Name);
    if (!File)
      return {Failed, "cannot read '" + Name + "'",
              "name files with daemons' logs, or - for standard input",
              json::object()};
    readLines(File, Id, Collected);
  }
  std::string Suppressed =
      Collected.DroppedLines == 0
          ? ""
          : std::to_string(Collected.DroppedLines) +
                " lines were suppressed by the daemons' log budgets";
  if (Collected.Lines.empty())
    return {Failed,
            "no decision on request '" + Id + "' in " +
                std::to_string(Collected.LinesRead) + " lines",
            Suppressed.empty() ? "add the logs of the other daemons"
                               : Suppressed,
            json::object()};
  std::stable_sort(
      Collected.Lines.begin(), Collected.Lines.end(),
      [](const LogLine &A, const LogLine &B) { return A.Time < B.Time; });
  CommandResult Result;
  Result.Data["lines"] = json::array();
  for (const LogLine &Matching : Collected.Lines) {
    size_t Depth = depthOf(Matching.Request) - depthOf(Id);
    Result.Text +=
        std::string(Depth * IndentPerDepth, ' ') + Matching.Text + "\n";
    Result.Data["lines"].push_back(Matching.Text);
  }
  Result.Text.pop_back();
  Result.Data["suppressed"] = Collected.DroppedLines;
  if (Collected.DroppedLines != 0) {
    Result.Status = Incomplete;
    Result.Advice = Suppressed;
  }
  return Result;
}

} // namespace cyclamenwind::ctl
