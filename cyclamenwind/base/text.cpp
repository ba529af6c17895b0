#include "cyclamenwind/base/text.h"

#include <algorithm>

#include <simdjson.h>

namespace cyclamenwind {
namespace {

constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

bool isControl(unsigned char C) { return C < FirstPrintable || C == Delete; }

bool isTokenCharacter(unsigned char C) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z') ||
         Marks.find(static_cast<char>(C)) != std::string_view::npos;
}

// Whether C is a byte of a UTF-8 character other than the first.
bool isContinuation(unsigned char C) { return (C & 0xc0) == 0x80; }

} // namespace

bool isUtf8(std::string_view Text) {
  return simdjson::validate_utf8(Text.data(), Text.size());
}

bool isHeaderValue(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char C) {
    return isControl(C) && C != '\t';
  });
}

bool isHttpToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

bool isHttpTarget(std::string_view Text) {
  return !Text.empty() &&
         std::none_of(Text.begin(), Text.end(),
                      [](unsigned char C) { return isControl(C) || C == ' '; });
}

std::string_view utf8Prefix(std::string_view Text, size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return Text;
  size_t End = MaxBytes;
  while (End > 0 && isContinuation(static_cast<unsigned char>(Text[End])))
    --End;
  return Text.substr(0, End);
}

} // namespace cyclamenwind
