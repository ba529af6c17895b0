#include "cyclamenwind/http/message_parser.h"

#include "cyclamenwind/base/names.h"
#include "cyclamenwind/base/text.h"

#include <algorithm>
#include <cctype>

#include <http_parser.h>

namespace cyclamenwind {
namespace {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

void trimTrailingBlanks(std::string &Text) {
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.pop_back();
}

// Whether two parties could disagree about where the message ends.
bool hasAmbiguousLength(const HttpHeaders &Headers) {
  size_t ContentLengths = countHeaders(Headers, "Content-Length");
  size_t TransferEncodings = countHeaders(Headers, "Transfer-Encoding");
  if (ContentLengths + TransferEncodings > 1)
    return true;
  if (TransferEncodings == 1)
    return !equalsIgnoringCase(*findHeader(Headers, "Transfer-Encoding"),
                               "chunked");
  if (ContentLengths == 0)
    return false;
  const std::string &LengthValue = *findHeader(Headers, "Content-Length");
  return LengthValue.empty() ||
         LengthValue.find_first_not_of("0123456789") != std::string::npos;
}

bool hasBlankInName(const HttpHeaders &Headers) {
  return std::any_of(
      Headers.begin(), Headers.end(), [](const HttpHeader &Header) {
        return Header.Name.empty() ||
               Header.Name.find_first_of(" \t") != std::string::npos;
      });
}

// Memory that a header line takes, beside its bytes: an element of the vectors
// of headers in the parser, in the message between daemons and in the request
// to the server (64, 80 and 64 bytes), some of which have spare capacity.
constexpr size_t HeaderLineMemory = 256;
// Copies of the bytes of a head that exist at a time.
constexpr size_t HeadCopies = 3;
// What a chunk may take beside its bytes and extensions: a size of 16 digits
// and the line breaks after it and after the bytes.
constexpr size_t ChunkFramingBytes = 20;

constexpr std::array<EnumName<ParseError>, 4> ParseErrorNames = {{
    {ParseError::None, "none"},
    {ParseError::Malformed, "malformed"},
    {ParseError::HeadersTooLarge, "headers_too_large"},
    {ParseError::BodyTooLarge, "body_too_large"},
}};

bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

// Whether Line, without its line break, is a valid status line. A missing
// reason phrase is tolerated, as many servers send none.
bool isStatusLine(std::string_view Line) {
  constexpr std::string_view Versions[] = {"HTTP/1.0 ", "HTTP/1.1 "};
  constexpr size_t VersionLength = Versions[0].size();
  constexpr size_t StatusLength = 3;
  if (!Line.starts_with(Versions[0]) && !Line.starts_with(Versions[1]))
    return false;
  std::string_view Status = Line.substr(VersionLength, StatusLength);
  if (Status.size() != StatusLength || Status[0] < '1' || Status[0] > '5' ||
      !isDigit(Status[1]) || !isDigit(Status[2]))
    return false;
  std::string_view Reason = Line.substr(VersionLength + StatusLength);
  if (!Reason.empty() && Reason[0] != ' ')
    return false;
  return std::none_of(Reason.begin(), Reason.end(), [](unsigned char Letter) {
    return (Letter < ' ' && Letter != '\t') || Letter == 0x7f;
  });
}

} // namespace

std::string_view nameOf(ParseError Error) {
  return nameIn(ParseErrorNames, Error);
}

struct MessageParser::State {
  http_parser Parser;
  MessageKind Kind;
  ParserLimits Limits;
  std::string StatusLine; // Of a response, as far as it was received.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  std::optional<size_t> DeclaredBody;
  size_t HeaderBytes = 0;
  size_t AllBytes = 0; // Of the current message, as they were received.
  size_t Chunks = 0;
  bool LastCallbackWasValue = true;
  bool Started = false;
  bool StatusLineComplete = false;
  bool HeadersComplete = false;
  bool Ready = false;
  bool KeepAlive = false;
  bool ResponseHasNoBody = false;
  ParseError Error = ParseError::None;

  static State &of(http_parser *Raw) {
    return *static_cast<State *>(Raw->data);
  }

  int addHeaderBytes(size_t Length) {
    HeaderBytes += Length;
    if (HeaderBytes <= Limits.MaxHeaderBytes)
      return 0;
    Error = ParseError::HeadersTooLarge;
    return 1;
  }

  void reset() {
    Target.clear();
    Headers.clear();
    Body.clear();
    DeclaredBody.reset();
    HeaderBytes = AllBytes = Chunks = 0;
    LastCallbackWasValue = true;
    StatusLine.clear();
    Started = StatusLineComplete = HeadersComplete = Ready = false;
  }

  void checkStatusLine(std::string_view Bytes);
  void checkFraming();
  static const http_parser_settings &settings();
};

// Checks the status line of a response when its end is in Bytes, which follow
// those of earlier calls. Empty lines before it are skipped, as http_parser
// does.
void MessageParser::State::checkStatusLine(std::string_view Bytes) {
  while (!StatusLineComplete && !Bytes.empty()) {
    size_t End = Bytes.find('\n');
    StatusLine.append(Bytes.substr(0, End));
    if (StatusLine.size() > Limits.MaxHeaderBytes) {
      Error = ParseError::HeadersTooLarge;
      return;
    }
    if (End == std::string_view::npos)
      return;
    Bytes.remove_prefix(End + 1);
    if (StatusLine.ends_with('\r'))
      StatusLine.pop_back();
    if (StatusLine.empty())
      continue;
    StatusLineComplete = true;
    if (!isStatusLine(StatusLine))
      Error = ParseError::Malformed;
  }
}

// Checks the number of received bytes that belong neither to a header nor to
// the body; http_parser does not limit all of them. Extensions of chunks may be
// as long as the body.
void MessageParser::State::checkFraming() {
  size_t Useful = HeaderBytes + Body.size();
  size_t Framing = AllBytes - std::min(AllBytes, Useful);
  if (Framing >
      Limits.MaxHeaderBytes + Chunks * ChunkFramingBytes + Body.size())
    Error = HeadersComplete ? ParseError::BodyTooLarge
                            : ParseError::HeadersTooLarge;
}

const http_parser_settings &MessageParser::State::settings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Callbacks;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_url = [](http_parser *Raw, const char *Data, size_t Length) {
      State &Self = of(Raw);
      Self.Target.append(Data, Length);
      return Self.addHeaderBytes(Length);
    };
    Callbacks.on_header_field = [](http_parser *Raw, const char *Data,
                                   size_t Length) {
      State &Self = of(Raw);
      // Bytes of a line besides name and value: the colon and the line break.
      size_t LineOverhead = Self.LastCallbackWasValue ? 3 : 0;
      if (Self.LastCallbackWasValue)
        Self.Headers.emplace_back();
      Self.LastCallbackWasValue = false;
      Self.Headers.back().Name.append(Data, Length);
      return Self.addHeaderBytes(Length + LineOverhead);
    };
    Callbacks.on_header_value = [](http_parser *Raw, const char *Data,
                                   size_t Length) {
      State &Self = of(Raw);
      Self.LastCallbackWasValue = true;
      Self.Headers.back().Value.append(Data, Length);
      return Self.addHeaderBytes(Length);
    };
    Callbacks.on_headers_complete = [](http_parser *Raw) {
      State &Self = of(Raw);
      for (HttpHeader &Header : Self.Headers)
        trimTrailingBlanks(Header.Value);
      bool HasTarget =
          Self.Kind == MessageKind::Response || isHttpTarget(Self.Target);
      if (!HasTarget || hasAmbiguousLength(Self.Headers) ||
          hasBlankInName(Self.Headers)) {
        Self.Error = ParseError::Malformed;
        return -1;
      }
      if ((Raw->flags & F_CONTENTLENGTH) != 0 &&
          Raw->content_length > Self.Limits.MaxBodyBytes) {
        Self.Error = ParseError::BodyTooLarge;
        return -1;
      }
      Self.HeadersComplete = true;
      bool HasBody =
          Self.Kind == MessageKind::Request || !Self.ResponseHasNoBody;
      if (HasBody && (Raw->flags & F_CONTENTLENGTH) != 0)
        Self.DeclaredBody = static_cast<size_t>(Raw->content_length);
      return Self.Kind == MessageKind::Response && Self.ResponseHasNoBody ? 1
                                                                          : 0;
    };
    Callbacks.on_chunk_header = [](http_parser *Raw) {
      State &Self = of(Raw);
      ++Self.Chunks;
      if (Raw->content_length <= Self.Limits.MaxBodyBytes - Self.Body.size())
        return 0;
      Self.Error = ParseError::BodyTooLarge;
      return 1;
    };
    Callbacks.on_body = [](http_parser *Raw, const char *Data, size_t Length) {
      State &Self = of(Raw);
      if (Self.Body.size() + Length > Self.Limits.MaxBodyBytes) {
        Self.Error = ParseError::BodyTooLarge;
        return 1;
      }
      Self.Body.append(Data, Length);
      return 0;
    };
    Callbacks.on_message_complete = [](http_parser *Raw) {
      State &Self = of(Raw);
      // The headers of a trailer have come since on_headers_complete.
      if ((Raw->flags & F_TRAILING) != 0 && hasBlankInName(Self.Headers)) {
        Self.Error = ParseError::Malformed;
        return -1;
      }
      Self.Ready = true;
      Self.KeepAlive = http_should_keep_alive(Raw) != 0;
      http_parser_pause(Raw, 1);
      return 0;
    };
    return Callbacks;
  }();
  return Settings;
}

MessageParser::MessageParser(MessageKind Kind, const ParserLimits &Limits)
    : Impl(std::make_unique<State>()) {
  Impl->Kind = Kind;
  Impl->Limits = Limits;
  http_parser_init(&Impl->Parser,
                   Kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  Impl->Parser.data = Impl.get();
}

MessageParser::~MessageParser() = default;

size_t MessageParser::feed(std::string_view Bytes) {
  if (Impl->Ready || Impl->Error != ParseError::None || Bytes.empty())
    return 0;
  Impl->Started = true;
  if (Impl->Kind == MessageKind::Response) {
    Impl->checkStatusLine(Bytes);
    if (Impl->Error != ParseError::None)
      return 0;
  }
  size_t Used = http_parser_execute(&Impl->Parser, &State::settings(),
                                    Bytes.data(), Bytes.size());
  Impl->AllBytes += Used;
  http_errno Code = HTTP_PARSER_ERRNO(&Impl->Parser);
  if (Code == HPE_PAUSED) {
    http_parser_pause(&Impl->Parser, 0);
    return Used;
  }
  bool Upgraded = Impl->Parser.upgrade != 0;
  if (Impl->Error == ParseError::None && (Code != HPE_OK || Upgraded))
    Impl->Error = Code == HPE_HEADER_OVERFLOW ? ParseError::HeadersTooLarge
                                              : ParseError::Malformed;
  if (Impl->Error == ParseError::None)
    Impl->checkFraming();
  return Used;
}

void MessageParser::finish() {
  if (Impl->Ready || Impl->Error != ParseError::None || !Impl->Started)
    return;
  http_parser_execute(&Impl->Parser, &State::settings(), nullptr, 0);
  if (!Impl->Ready)
    Impl->Error = ParseError::Malformed;
}

bool MessageParser::ready() const { return Impl->Ready; }

ParsedMessage MessageParser::take() {
  ParsedMessage Message;
  Message.KeepAlive = Impl->KeepAlive;
  if (Impl->Kind == MessageKind::Request) {
    Message.Request = {
        http_method_str(static_cast<http_method>(Impl->Parser.method)),
        std::move(Impl->Target), std::move(Impl->Headers),
        std::move(Impl->Body)};
  } else {
    Message.Response = {static_cast<int>(Impl->Parser.status_code),
                        std::move(Impl->Headers), std::move(Impl->Body)};
  }
  Impl->reset();
  return Message;
}

ParseError MessageParser::error() const { return Impl->Error; }

bool MessageParser::hasPartialMessage() const {
  return Impl->Started && !Impl->Ready;
}

size_t MessageParser::bufferedBytes() const { return Impl->Body.size(); }

size_t MessageParser::headMemory() const {
  return Impl->Headers.size() * HeaderLineMemory +
         Impl->HeaderBytes * HeadCopies;
}

std::optional<size_t> MessageParser::declaredBodyBytes() const {
  return Impl->DeclaredBody;
}

size_t MessageParser::bodyMemory() const {
  return std::max(Impl->DeclaredBody.value_or(0), Impl->Body.capacity());
}

void MessageParser::reserveBody() {
  Impl->Body.reserve(Impl->DeclaredBody.value_or(0));
}

bool MessageParser::headersComplete() const { return Impl->HeadersComplete; }

void MessageParser::expectNoBody(bool NoBody) {
  Impl->ResponseHasNoBody = NoBody;
}

} // namespace cyclamenwind
