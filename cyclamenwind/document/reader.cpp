#include "cyclamenwind/document/reader.h"

namespace cyclamenwind {
namespace {

constexpr size_t MaxNameBytes = 100;

std::string rangeText(const std::string &Low, const std::string &High) {
  return "must be a number from " + Low + " to " + High;
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         Text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
             std::string_view::npos;
}

ObjectReader::ObjectReader(const nlohmann::json &Node, std::string Path,
                           DocumentErrors &Errors)
    : Node(Node), Path(std::move(Path)), Errors(Errors) {
  if (!Node.is_object())
    Errors.push_back({this->Path, "must be an object"});
}

std::string ObjectReader::pathOf(const std::string &Key) const {
  return Path + "/" + Key;
}

void ObjectReader::fail(const std::string &Key, std::string Message) {
  Errors.push_back({pathOf(Key), std::move(Message)});
}

const nlohmann::json *ObjectReader::optional(const char *Key) {
  KeysRead.insert(Key);
  if (!Node.is_object())
    return nullptr;
  auto Found = Node.find(Key);
  return Found == Node.end() ? nullptr : &*Found;
}

const nlohmann::json *ObjectReader::required(const char *Key) {
  const nlohmann::json *Value = optional(Key);
  if (Value == nullptr && Node.is_object())
    fail(Key, "is required");
  return Value;
}

std::string ObjectReader::name(const char *Key) {
  const nlohmann::json *Value = required(Key);
  if (Value == nullptr)
    return "";
  if (!Value->is_string() || !isName(Value->get_ref<const std::string &>())) {
    fail(Key, "must be 1 to 100 letters, digits, '-', '_' or '.'");
    return "";
  }
  return Value->get<std::string>();
}

std::string ObjectReader::text(const char *Key, size_t MaxBytes) {
  if (required(Key) == nullptr)
    return "";
  return textOr(Key, MaxBytes, "");
}

std::string ObjectReader::textOr(const char *Key, size_t MaxBytes,
                                 std::string Default) {
  const nlohmann::json *Value = optional(Key);
  if (Value == nullptr)
    return Default;
  if (!Value->is_string() ||
      Value->get_ref<const std::string &>().size() > MaxBytes) {
    fail(Key,
         "must be a string of at most " + std::to_string(MaxBytes) + " bytes");
    return Default;
  }
  return Value->get<std::string>();
}

int64_t ObjectReader::integerOr(const char *Key, int64_t Low, int64_t High,
                                int64_t Default) {
  const nlohmann::json *Value = optional(Key);
  if (Value == nullptr)
    return Default;
  if (!Value->is_number_integer() || Value->get<int64_t>() < Low ||
      Value->get<int64_t>() > High) {
    fail(Key, rangeText(std::to_string(Low), std::to_string(High)));
    return Default;
  }
  return Value->get<int64_t>();
}

double ObjectReader::numberOr(const char *Key, double Low, double High,
                              double Default) {
  const nlohmann::json *Value = optional(Key);
  if (Value == nullptr)
    return Default;
  if (!Value->is_number() || Value->get<double>() < Low ||
      Value->get<double>() > High) {
    fail(Key, rangeText(std::to_string(Low), std::to_string(High)));
    return Default;
  }
  return Value->get<double>();
}

bool ObjectReader::booleanOr(const char *Key, bool Default) {
  const nlohmann::json *Value = optional(Key);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean()) {
    fail(Key, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

WallTime ObjectReader::time(const char *Key) {
  const nlohmann::json *Value = required(Key);
  if (Value == nullptr)
    return {};
  std::optional<WallTime> Parsed;
  if (Value->is_string())
    Parsed = parseWallTime(Value->get_ref<const std::string &>());
  if (!Parsed) {
    fail(Key, "must be a time in UTC such as \"2026-08-01T12:00:00Z\"");
    return {};
  }
  return *Parsed;
}

void ObjectReader::array(
    const char *Key, size_t MaxElements,
    const std::function<void(const nlohmann::json &, std::string)> &OnElement) {
  const nlohmann::json *Value = optional(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_array() || Value->size() > MaxElements) {
    fail(Key, "must be an array of at most " + std::to_string(MaxElements) +
                  " elements");
    return;
  }
  for (size_t I = 0; I < Value->size(); ++I)
    OnElement((*Value)[I], pathOf(Key) + "/" + std::to_string(I));
}

void ObjectReader::finish() {
  if (!Node.is_object())
    return;
  for (const auto &[Key, Value] : Node.items())
    if (KeysRead.count(Key) == 0)
      fail(Key, "is not a known member");
}

} // namespace cyclamenwind
