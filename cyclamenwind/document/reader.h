// ObjectReader: reads a JSON object member by member and collects all errors.
//
// After an error the methods return an empty or default value, so that reading
// goes on and the later errors are reported as well.

#ifndef CYCLAMENWIND_DOCUMENT_READER_H
#define CYCLAMENWIND_DOCUMENT_READER_H

#include "cyclamenwind/document/document.h"

#include <functional>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

namespace cyclamenwind {

class ObjectReader {
public:
  // Path is the JSON pointer of Node. A Node that is not an object is reported
  // as an error at Path. Node and Errors must outlive the reader.
  ObjectReader(const nlohmann::json &Node, std::string Path,
               DocumentErrors &Errors);

  // Reads a required name; see isName().
  std::string name(const char *Key);

  // Reads a required string of at most MaxBytes.
  std::string text(const char *Key, size_t MaxBytes);

  // Read an optional member; return Default if it is absent. Numbers must be in
  // [Low, High].
  std::string textOr(const char *Key, size_t MaxBytes, std::string Default);
  int64_t integerOr(const char *Key, int64_t Low, int64_t High,
                    int64_t Default);
  double numberOr(const char *Key, double Low, double High, double Default);
  bool booleanOr(const char *Key, bool Default);

  // Reads a required time in RFC 3339, in UTC.
  WallTime time(const char *Key);

  // Calls OnElement with each element of an optional array and its path.
  void array(const char *Key, size_t MaxElements,
             const std::function<void(const nlohmann::json &, std::string)>
                 &OnElement);

  // Returns a required member of any type. If it is absent, reports an error
  // and returns null.
  const nlohmann::json *required(const char *Key);

  // Returns an optional member of any type; null if there is none.
  const nlohmann::json *optional(const char *Key);

  // Reports an error for each member that was not read. Call it last.
  void finish();

  // Reports an error at the member Key.
  void fail(const std::string &Key, std::string Message);

  // Returns the JSON pointer of the member Key.
  std::string pathOf(const std::string &Key) const;

private:
  const nlohmann::json &Node;
  std::string Path;
  DocumentErrors &Errors;
  std::set<std::string> KeysRead;
};

// Returns whether Text has 1 to 100 letters, digits, '-', '_' or '.'.
bool isName(std::string_view Text);

} // namespace cyclamenwind

#endif
