#include "cyclamenwind/http/message_parser.h"

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

// Whether two parties could disagree on where the message ends.
bool hasAmbiguousLength(const HttpHeaders &Headers) {
  size_t Lengths = countHeaders(Headers, "Content-Length");
  size_t Codings = countHeaders(Headers, "Transfer-Encoding");
  if (Lengths + Codings > 1)
    return true;
  if (Codings == 1)
    return !equalsIgnoringCase(*findHeader(Headers, "Transfer-Encoding"),
                               "chunked");
  if (Lengths == 0)
    return false;
  const std::string &Length = *findHeader(Headers, "Content-Length");
  return Length.empty() ||
         Length.find_first_not_of("0123456789") != std::string::npos;
}

bool hasBlankInName(const HttpHeaders &Headers) {
  return std::any_of(Headers.begin(), Headers.end(), [](const HttpHeader &H) {
    return H.Name.empty() || H.Name.find_first_of(" \t") != std::string::npos;
  });
}

} // namespace

struct MessageParser::State {
  http_parser Parser;
  MessageKind Kind;
  ParserLimits Limits;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  size_t HeaderBytes = 0;
  bool LastWasValue = true;
  bool Begun = false;
  bool HeadersDone = false;
  bool Ready = false;
  bool KeepAlive = false;
  bool WithoutBody = false;
  ParseError Error = ParseError::None;

  static State &of(http_parser *Raw) {
    return *static_cast<State *>(Raw->data);
  }

  int countHeader(size_t Length) {
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
    HeaderBytes = 0;
    LastWasValue = true;
    Begun = HeadersDone = Ready = false;
  }

  static const http_parser_settings &settings();
};

const http_parser_settings &MessageParser::State::settings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_url = [](http_parser *Raw, const char *At, size_t Length) {
      State &Self = of(Raw);
      Self.Target.append(At, Length);
      return Self.countHeader(Length);
    };
    S.on_header_field = [](http_parser *Raw, const char *At, size_t Length) {
      State &Self = of(Raw);
      if (Self.LastWasValue)
        Self.Headers.emplace_back();
      Self.LastWasValue = false;
      Self.Headers.back().Name.append(At, Length);
      return Self.countHeader(Length);
    };
    S.on_header_value = [](http_parser *Raw, const char *At, size_t Length) {
      State &Self = of(Raw);
      Self.LastWasValue = true;
      Self.Headers.back().Value.append(At, Length);
      return Self.countHeader(Length);
    };
    S.on_headers_complete = [](http_parser *Raw) {
      State &Self = of(Raw);
      for (HttpHeader &Each : Self.Headers)
        trimTrailingBlanks(Each.Value);
      if (hasAmbiguousLength(Self.Headers) || hasBlankInName(Self.Headers)) {
        Self.Error = ParseError::Malformed;
        return -1;
      }
      if ((Raw->flags & F_CONTENTLENGTH) != 0 &&
          Raw->content_length > Self.Limits.MaxBodyBytes) {
        Self.Error = ParseError::BodyTooLarge;
        return -1;
      }
      Self.HeadersDone = true;
      return Self.Kind == MessageKind::Response && Self.WithoutBody ? 1 : 0;
    };
    S.on_body = [](http_parser *Raw, const char *At, size_t Length) {
      State &Self = of(Raw);
      if (Self.Body.size() + Length > Self.Limits.MaxBodyBytes) {
        Self.Error = ParseError::BodyTooLarge;
        return 1;
      }
      Self.Body.append(At, Length);
      return 0;
    };
    S.on_message_complete = [](http_parser *Raw) {
      State &Self = of(Raw);
      Self.Ready = true;
      Self.KeepAlive = http_should_keep_alive(Raw) != 0;
      http_parser_pause(Raw, 1);
      return 0;
    };
    return S;
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
  Impl->Begun = true;
  size_t Used = http_parser_execute(&Impl->Parser, &State::settings(),
                                    Bytes.data(), Bytes.size());
  http_errno Code = HTTP_PARSER_ERRNO(&Impl->Parser);
  if (Code == HPE_PAUSED) {
    http_parser_pause(&Impl->Parser, 0);
    return Used;
  }
  bool Upgraded = Impl->Parser.upgrade != 0;
  if (Impl->Error == ParseError::None && (Code != HPE_OK || Upgraded))
    Impl->Error = Code == HPE_HEADER_OVERFLOW ? ParseError::HeadersTooLarge
                                              : ParseError::Malformed;
  return Used;
}

void MessageParser::finish() {
  if (Impl->Ready || Impl->Error != ParseError::None || !Impl->Begun)
    return;
  http_parser_execute(&Impl->Parser, &State::settings(), nullptr, 0);
  if (!Impl->Ready)
    Impl->Error = ParseError::Malformed;
}

bool MessageParser::ready() const { return Impl->Ready; }

ParsedMessage MessageParser::take() {
  ParsedMessage Result;
  Result.KeepAlive = Impl->KeepAlive;
  if (Impl->Kind == MessageKind::Request) {
    Result.Request = {
        http_method_str(static_cast<http_method>(Impl->Parser.method)),
        std::move(Impl->Target), std::move(Impl->Headers),
        std::move(Impl->Body)};
  } else {
    Result.Response = {static_cast<int>(Impl->Parser.status_code),
                       std::move(Impl->Headers), std::move(Impl->Body)};
  }
  Impl->reset();
  return Result;
}

ParseError MessageParser::error() const { return Impl->Error; }

bool MessageParser::midMessage() const { return Impl->Begun && !Impl->Ready; }

bool MessageParser::headersDone() const { return Impl->HeadersDone; }

void MessageParser::expectNoBody(bool Without) { Impl->WithoutBody = Without; }

} // namespace cyclamenwind
