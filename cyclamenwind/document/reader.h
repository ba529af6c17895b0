// Reader: reads JSON objects member by member and collects every error.

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
  // Node may be of any type; anything but an object is an error at Path.
  ObjectReader(const nlohmann::json &Node, std::string Path,
               DocumentErrors &Errors);

  // A required name: 1 to 100 letters, digits, '-', '_' or '.'.
  std::string name(const char *Key);

  // A required string of at most MaxBytes.
  std::string text(const char *Key, size_t MaxBytes);

  // Optional members; Default if absent.
  std::string textOr(const char *Key, size_t MaxBytes, std::string Default);
  int64_t integerOr(const char *Key, int64_t Low, int64_t High,
                    int64_t Default);
  double numberOr(const char *Key, double Low, double High, double Default);
  bool booleanOr(const char *Key, bool Default);

  // A required time in RFC 3339.
  WallTime time(const char *Key);

  // Calls Each with every element of an optional array and its path.
  void
  array(const char *Key, size_t MaxElements,
        const std::function<void(const nlohmann::json &, std::string)> &Each);

  // A required member of any type; null (and an error) if absent.
  const nlohmann::json *required(const char *Key);

  // An optional member of any type; null if absent.
  const nlohmann::json *optional(const char *Key);

  // Reports members that nothing asked for.
  void finish();

  void fail(const std::string &Key, std::string Message);
  std::string pathOf(const std::string &Key) const;

private:
  const nlohmann::json &Node;
  std::string Path;
  DocumentErrors &Errors;
  std::set<std::string> Known;
};

bool isName(std::string_view Text);

} // namespace cyclamenwind

#endif
