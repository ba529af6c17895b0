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

// What was read from all files.
struct Trace {
  std::vector<LogLine> Lines;
  size_t Read = 0;
  uint64_t Dropped = 0; // Lines that the daemons did not write.
};

// Value of Key in a line of key=value pairs; empty if absent. Values of the
// keys that are asked for are never quoted.
std::string valueOf(const std::string &Text, const std::string &Key) {
  std::string Wanted = " " + Key + "=";
  size_t At = Text.find(Wanted);
  if (At == std::string::npos)
    return "";
  size_t Begin = At + Wanted.size();
  return Text.substr(Begin, Text.find(' ', Begin) - Begin);
}

// Whether Request is Id or a call made while Id was run.
bool belongsTo(const std::string &Request, const std::string &Id) {
  return Request == Id || Request.starts_with(Id + ".");
}

void readLines(std::istream &Stream, const std::string &Id, Trace &Result) {
  std::string Text;
  while (std::getline(Stream, Text)) {
    ++Result.Read;
    std::string Padded = " " + Text;
    std::string Dropped = valueOf(Padded, "dropped_before");
    if (!Dropped.empty())
      Result.Dropped += std::strtoull(Dropped.c_str(), nullptr, 10);
    std::string Request = valueOf(Padded, "request");
    if (belongsTo(Request, Id))
      Result.Lines.push_back({valueOf(Padded, "time"), Request, Text});
  }
}

size_t depthOf(const std::string &Request) {
  return static_cast<size_t>(std::count(Request.begin(), Request.end(), '.'));
}

} // namespace

CommandResult trace(const CommandLine &Line) {
  const std::string &Id = Line.Arguments[0];
  Trace Found;
  for (size_t I = 1; I < Line.Arguments.size(); ++I) {
    const std::string &Name = Line.Arguments[I];
    if (Name == "-") {
      readLines(std::cin, Id, Found);
      continue;
    }
    std::ifstream File(Name);
    if (!File)
      return {Failed, "cannot read '" + Name + "'",
              "name files with daemons' logs, or - for standard input",
              json::object()};
    readLines(File, Id, Found);
  }
  std::string Suppressed =
      Found.Dropped == 0
          ? ""
          : std::to_string(Found.Dropped) +
                " lines were suppressed by the daemons' log budgets";
  if (Found.Lines.empty())
    return {Failed,
            "no decision on request '" + Id + "' in " +
                std::to_string(Found.Read) + " lines",
            Suppressed.empty() ? "add the logs of the other daemons"
                               : Suppressed,
            json::object()};
  std::stable_sort(
      Found.Lines.begin(), Found.Lines.end(),
      [](const LogLine &A, const LogLine &B) { return A.Time < B.Time; });
  CommandResult Result;
  Result.Data["lines"] = json::array();
  for (const LogLine &Each : Found.Lines) {
    size_t Depth = depthOf(Each.Request) - depthOf(Id);
    Result.Text += std::string(Depth * IndentPerDepth, ' ') + Each.Text + "\n";
    Result.Data["lines"].push_back(Each.Text);
  }
  Result.Text.pop_back();
  Result.Data["suppressed"] = Found.Dropped;
  if (Found.Dropped != 0) {
    Result.Status = Incomplete;
    Result.Next = Suppressed;
  }
  return Result;
}

} // namespace cyclamenwind::ctl
