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

// Text of a document file; Failure is set if the file cannot be read or is not
// a valid document.
struct CheckedFile {
  std::string Text;
  std::optional<CommandResult> Failure;
};

CommandResult invalidDocument(const std::string &File,
                              const DocumentErrors &Errors) {
  CommandResult Failure;
  Failure.Status = Failed;
  Failure.Text = File + " is not a valid document";
  json List = json::array();
  for (const DocumentError &Error : Errors) {
    Failure.Text += "\n" + File + ": " +
                    (Error.Path.empty() ? "/" : Error.Path) + ": " +
                    Error.Message;
    List.push_back({{"path", Error.Path}, {"message", Error.Message}});
  }
  Failure.Advice = "correct the document at the paths shown";
  Failure.Data = {{"errors", List}};
  return Failure;
}

CheckedFile readAndCheck(const std::string &File) {
  CheckedFile Checked;
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (Stream)
    Text << Stream.rdbuf();
  if (!Stream) {
    Checked.Failure =
        CommandResult{Failed, File + " cannot be read",
                      "check the name of the file", json::object()};
    return Checked;
  }
  Checked.Text = Text.str();
  Result<Document, DocumentErrors> Parsed = parseDocument(Checked.Text);
  if (!Parsed)
    Checked.Failure = invalidDocument(File, Parsed.error());
  return Checked;
}

std::string randomOperationId() {
  std::random_device Source;
  uint64_t Number = (uint64_t(Source()) << 32) | Source();
  return "op-" + std::to_string(Number);
}

std::string differenceLines(const json &Differences) {
  std::string Lines;
  for (const json &Change : Differences) {
    Lines += "\n  " + Change.value("change", "") + " " +
             Change.value("resource", "") + " " + Change.value("name", "");
    for (const json &Field : Change.value("fields", json::array()))
      Lines += "\n    " + Field.value("field", "") + ": " +
               Field.value("from", "") + " -> " + Field.value("to", "");
  }
  return Lines;
}

CommandResult lostRace(const json &Body) {
  CommandResult Failure;
  Failure.Status = LostRace;
  Failure.Data = Body;
  if (!Body.contains("present")) {
    Failure.Text = "not accepted: no document is in place, so it cannot be "
                   "replaced";
    Failure.Advice = "accept it with --base 0";
    return Failure;
  }
  const json &Current = Body.at("present");
  std::string Version = std::to_string(Current.value("version", uint64_t(0)));
  Failure.Text = "not accepted: version " + Version + ", accepted by " +
                 Current.value("author", "") + " at " +
                 Current.value("written", "") +
                 ", is in place. From it to this document:" +
                 differenceLines(Body.value("differences", json::array()));
  Failure.Advice =
      "merge the other change into the document, then accept it with "
      "--base " +
      Version;
  return Failure;
}

CommandResult notAccepted(const DaemonResponse &Response,
                          const std::string &OperationId) {
  CommandResult Failure = unexpectedResponse(Response);
  std::string Error = Response.Body.value("error", "");
  if (Response.Body.contains("errors")) {
    Failure.Text = "not accepted: the daemon finds errors in the document";
    for (const json &DocumentError : Response.Body["errors"])
      Failure.Text += "\n" + DocumentError.value("path", "") + ": " +
                      DocumentError.value("message", "");
    Failure.Advice = "correct the document at the paths shown";
  }
  if (Error == "unknown") {
    Failure.Status = OutcomeUnknown;
    Failure.Text = "it could not be learned whether the document was accepted";
    Failure.Advice = "run the same command with --operation " + OperationId +
                     "; it takes effect at most once";
  }
  if (Error == "not_written")
    Failure.Advice = "the platform refused or was not reached; try again later";
  return Failure;
}

} // namespace

CommandResult validate(const CommandLine &Line) {
  CheckedFile Checked = readAndCheck(Line.Arguments[0]);
  if (Checked.Failure)
    return *Checked.Failure;
  return {Done, "document: ok", "", {{"valid", true}}};
}

CommandResult accept(const CommandLine &Line, DaemonClient &Client) {
  CheckedFile Checked = readAndCheck(Line.Arguments[0]);
  if (Checked.Failure)
    return *Checked.Failure;
  std::string OperationId =
      Line.OperationId.empty() ? randomOperationId() : Line.OperationId;
  std::string Target = "/api/document?author=" + percentEncoded(Line.Author) +
                       "&operation=" + percentEncoded(OperationId);
  if (Line.Base)
    Target += "&base=" + std::to_string(*Line.Base);
  DaemonResponse Response =
      sendRequest(Client, *Line.Daemon,
                  {"POST",
                   Target,
                   {{"Authorization", "Bearer " + Line.Token},
                    {"Content-Type", "application/json"}},
                   Checked.Text});
  if (Response.Status == 0) {
    if (Response.Failure.Status == OutcomeUnknown)
      Response.Failure.Advice = "run the same command with --operation " +
                                OperationId + "; it takes effect at most once";
    Response.Failure.Data["operation"] = OperationId;
    return Response.Failure;
  }
  if (Response.Status == Conflict)
    return lostRace(Response.Body);
  if (Response.Status != Ok)
    return notAccepted(Response, OperationId);
  uint64_t Version = Response.Body.value("version", uint64_t(0));
  return {Done,
          "accepted as version " + std::to_string(Version),
          "",
          {{"version", Version}, {"operation", OperationId}}};
}

CommandResult diff(const CommandLine &Line, DaemonClient &Client) {
  CheckedFile Checked = readAndCheck(Line.Arguments[0]);
  if (Checked.Failure)
    return *Checked.Failure;
  DaemonResponse Response = sendRequest(Client, *Line.Daemon,
                                        {"POST",
                                         "/api/diff",
                                         {{"Content-Type", "application/json"}},
                                         Checked.Text});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok)
    return unexpectedResponse(Response);
  json Differences = Response.Body.value("differences", json::array());
  std::string Base = std::to_string(Response.Body.value("base", uint64_t(0)));
  std::string Text = Differences.empty() ? "no difference from version " + Base
                                         : "from version " + Base + ":" +
                                               differenceLines(Differences);
  return {Done, Text, "", Response.Body};
}

} // namespace cyclamenwind::ctl
