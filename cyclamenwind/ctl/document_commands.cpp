#include "cyclamenwind/ctl/commands.h"

#include "cyclamenwind/document/diff.h"

#include <fstream>
#include <random>
#include <sstream>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr int Ok = 200;
constexpr int Conflict = 409;

struct CheckedFile {
  std::string Text;
  std::optional<CommandResult> Problem;
};

CommandResult invalid(const std::string &File, const DocumentErrors &Errors) {
  CommandResult Problem;
  Problem.Status = Failed;
  Problem.Text = File + " is not a valid document";
  json List = json::array();
  for (const DocumentError &Each : Errors) {
    Problem.Text += "\n" + File + ": " + (Each.Path.empty() ? "/" : Each.Path) +
                    ": " + Each.Message;
    List.push_back({{"path", Each.Path}, {"message", Each.Message}});
  }
  Problem.Next = "correct the document at the paths shown";
  Problem.Data = {{"errors", List}};
  return Problem;
}

CheckedFile checkedFile(const std::string &File) {
  CheckedFile Checked;
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (Stream)
    Text << Stream.rdbuf();
  if (!Stream) {
    Checked.Problem =
        CommandResult{Failed, File + " cannot be read",
                      "check the name of the file", json::object()};
    return Checked;
  }
  Checked.Text = Text.str();
  Result<Document, DocumentErrors> Parsed = parseDocument(Checked.Text);
  if (!Parsed)
    Checked.Problem = invalid(File, Parsed.error());
  return Checked;
}

std::string freshOperationId() {
  std::random_device Source;
  uint64_t Number = (uint64_t(Source()) << 32) | Source();
  return "op-" + std::to_string(Number);
}

std::string differenceLines(const json &Differences) {
  std::string Lines;
  for (const json &Each : Differences) {
    Lines += "\n  " + Each.value("change", "") + " " +
             Each.value("resource", "") + " " + Each.value("name", "");
    for (const json &Field : Each.value("fields", json::array()))
      Lines += "\n    " + Field.value("field", "") + ": " +
               Field.value("from", "") + " -> " + Field.value("to", "");
  }
  return Lines;
}

CommandResult lostRace(const json &Body) {
  CommandResult Lost;
  Lost.Status = LostRace;
  Lost.Data = Body;
  if (!Body.contains("present")) {
    Lost.Text = "not accepted: no document is in place, so it cannot be "
                "replaced";
    Lost.Next = "accept it with --base 0";
    return Lost;
  }
  const json &Present = Body.at("present");
  std::string Version = std::to_string(Present.value("version", uint64_t(0)));
  Lost.Text = "not accepted: version " + Version + ", accepted by " +
              Present.value("author", "") + " at " +
              Present.value("written", "") +
              ", is in place. From it to this document:" +
              differenceLines(Body.value("differences", json::array()));
  Lost.Next = "merge the other change into the document, then accept it with "
              "--base " +
              Version;
  return Lost;
}

CommandResult notAccepted(const Reply &Received,
                          const std::string &OperationId) {
  CommandResult Problem = unexpected(Received);
  std::string Error = Received.Body.value("error", "");
  if (Received.Body.contains("errors")) {
    Problem.Text = "not accepted: the daemon finds errors in the document";
    for (const json &Each : Received.Body["errors"])
      Problem.Text +=
          "\n" + Each.value("path", "") + ": " + Each.value("message", "");
    Problem.Next = "correct the document at the paths shown";
  }
  if (Error == "unknown") {
    Problem.Status = OutcomeUnknown;
    Problem.Text = "it could not be learned whether the document was accepted";
    Problem.Next = "run the same command with --operation " + OperationId +
                   "; it takes effect at most once";
  }
  if (Error == "not_written")
    Problem.Next = "the platform refused or was not reached; try again later";
  return Problem;
}

} // namespace

CommandResult validate(const CommandLine &Line) {
  CheckedFile Checked = checkedFile(Line.Arguments[0]);
  if (Checked.Problem)
    return *Checked.Problem;
  return {Done, "document: ok", "", {{"valid", true}}};
}

CommandResult accept(const CommandLine &Line, Connection &Link) {
  CheckedFile Checked = checkedFile(Line.Arguments[0]);
  if (Checked.Problem)
    return *Checked.Problem;
  std::string OperationId =
      Line.OperationId.empty() ? freshOperationId() : Line.OperationId;
  std::string Target = "/api/document?author=" + escaped(Line.Author) +
                       "&operation=" + escaped(OperationId);
  if (Line.Base)
    Target += "&base=" + std::to_string(*Line.Base);
  Reply Received = ask(Link, *Line.Daemon,
                       {"POST",
                        Target,
                        {{"Authorization", "Bearer " + Line.Token},
                         {"Content-Type", "application/json"}},
                        Checked.Text});
  if (Received.Status == 0) {
    if (Received.Problem.Status == OutcomeUnknown)
      Received.Problem.Next = "run the same command with --operation " +
                              OperationId + "; it takes effect at most once";
    Received.Problem.Data["operation"] = OperationId;
    return Received.Problem;
  }
  if (Received.Status == Conflict)
    return lostRace(Received.Body);
  if (Received.Status != Ok)
    return notAccepted(Received, OperationId);
  uint64_t Version = Received.Body.value("version", uint64_t(0));
  return {Done,
          "accepted as version " + std::to_string(Version),
          "",
          {{"version", Version}, {"operation", OperationId}}};
}

CommandResult diff(const CommandLine &Line, Connection &Link) {
  CheckedFile Checked = checkedFile(Line.Arguments[0]);
  if (Checked.Problem)
    return *Checked.Problem;
  Reply Received = ask(Link, *Line.Daemon,
                       {"POST",
                        "/api/diff",
                        {{"Content-Type", "application/json"}},
                        Checked.Text});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok)
    return unexpected(Received);
  json Differences = Received.Body.value("differences", json::array());
  std::string Base = std::to_string(Received.Body.value("base", uint64_t(0)));
  std::string Text = Differences.empty() ? "no difference from version " + Base
                                         : "from version " + Base + ":" +
                                               differenceLines(Differences);
  return {Done, Text, "", Received.Body};
}

} // namespace cyclamenwind::ctl
