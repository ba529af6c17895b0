#include "cyclamenwind/mesh/workspaces.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"
#include "cyclamenwind/base/text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<WorkspaceError>, 4> WorkspaceErrorNames = {{
    {WorkspaceError::BadName, "bad_name"},
    {WorkspaceError::DuplicateName, "duplicate_name"},
    {WorkspaceError::SharedKey, "shared_key"},
    {WorkspaceError::BadAllowance, "bad_allowance"},
}};

using Secret = std::array<unsigned char, 32>;

// Without random bytes the look-up would be predictable, so the process ends.
const Secret &processSecret() {
  static const Secret Bytes = [] {
    Secret Drawn{};
    if (RAND_bytes(Drawn.data(), static_cast<int>(Drawn.size())) != 1)
      std::abort();
    return Drawn;
  }();
  return Bytes;
}

bool isAllowance(double Value) {
  return std::isfinite(Value) && Value >= 0 && Value <= MaxAllowance;
}

// Whether a request can carry Key after the name of the scheme.
bool isUsableKey(std::string_view Key) {
  constexpr unsigned char FirstPrintable = 0x21;
  constexpr unsigned char LastPrintable = 0x7e;
  return !Key.empty() && Key.size() <= MaxKeyBytes &&
         std::all_of(Key.begin(), Key.end(), [](unsigned char C) {
           return C >= FirstPrintable && C <= LastPrintable;
         });
}

} // namespace

std::string_view nameOf(WorkspaceError Error) {
  return nameIn(WorkspaceErrorNames, Error);
}

WorkspaceTable::Digest WorkspaceTable::digestOf(std::string_view Key) {
  Digest Result{};
  unsigned int Size = 0;
  if (HMAC(EVP_sha256(), processSecret().data(),
           static_cast<int>(processSecret().size()),
           reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
           Result.data(), &Size) == nullptr ||
      Size != Result.size())
    std::abort();
  return Result;
}

Result<WorkspaceTablePtr, WorkspaceProblem>
WorkspaceTable::make(std::vector<WorkspaceEntry> Entries) {
  std::shared_ptr<WorkspaceTable> Table(new WorkspaceTable());
  for (WorkspaceEntry &Entry : Entries) {
    std::string Name = Entry.Settings.Name;
    if (Name.empty() || !isHeaderValue(Name))
      return WorkspaceProblem{WorkspaceError::BadName, Name};
    if (!isAllowance(Entry.Settings.PerSecond) ||
        !isAllowance(Entry.Settings.Burst))
      return WorkspaceProblem{WorkspaceError::BadAllowance, Name};
    auto [Position, IsNew] =
        Table->ByName.emplace(Name, std::move(Entry.Settings));
    if (!IsNew)
      return WorkspaceProblem{WorkspaceError::DuplicateName, Name};
    const Workspace *Added = &Position->second;
    for (const std::string &Key : Entry.Keys) {
      if (!isUsableKey(Key)) {
        logWarning("workspace_key_unusable",
                   {{"workspace", Name}, {"bytes", Key.size()}});
        continue;
      }
      if (Table->ByKey.emplace(digestOf(Key), Added).first->second != Added)
        return WorkspaceProblem{WorkspaceError::SharedKey, Name};
    }
  }
  return WorkspaceTablePtr(std::move(Table));
}

const Workspace *WorkspaceTable::findByKey(std::string_view Key) const {
  if (!isUsableKey(Key))
    return nullptr;
  auto Found = ByKey.find(digestOf(Key));
  return Found == ByKey.end() ? nullptr : Found->second;
}

const Workspace *WorkspaceTable::find(std::string_view Name) const {
  auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Found->second;
}

} // namespace cyclamenwind
