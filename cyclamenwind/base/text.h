// Checks of text that other processes sent.
//
// Paths, headers and Thrift strings are sequences of any bytes. Text that is to
// be written out again, as JSON or in an HTTP message, is checked where it is
// received: the JSON library throws on text that is not UTF-8, and a line break
// in a header starts another header.

#ifndef CYCLAMENWIND_BASE_TEXT_H
#define CYCLAMENWIND_BASE_TEXT_H

#include <string_view>

namespace cyclamenwind {

// Whether Text is valid UTF-8.
bool isUtf8(std::string_view Text);

// Whether Text can be the value of an HTTP header: it has no control characters
// but tabs.
bool isHeaderValue(std::string_view Text);

// Whether Text can be an HTTP method or the name of a header (a token of RFC
// 9110, section 5.6.2).
bool isHttpToken(std::string_view Text);

// Whether Text can be the target of an HTTP request: it is not empty and has no
// blanks and no control characters.
bool isHttpTarget(std::string_view Text);

// The first MaxBytes bytes of Text, which is UTF-8, without a character that
// would be cut in two.
std::string_view utf8Prefix(std::string_view Text, size_t MaxBytes);

} // namespace cyclamenwind

#endif
