// ConfigPosition: which of two configurations is newer.
//
// Within one restore epoch of the platform (store/client.h) the higher revision
// is newer. After a restore the operator writes again what the older copy
// lacks, and revisions start over; so between epochs the operator's version
// decides, which only rises, and with equal versions the epoch. The
// configuration of the copy therefore never replaces a newer one that was
// applied before the restore.

#ifndef CYCLAMENWIND_MESH_CONFIG_POSITION_H
#define CYCLAMENWIND_MESH_CONFIG_POSITION_H

#include <cstdint>

namespace cyclamenwind {

struct ConfigPosition {
  uint64_t Epoch = 0;
  uint64_t Revision = 0;
  int64_t Version = 0; // The operator's.
  // Whether messages name epoch and version although the epoch is 0: the
  // platform has been restored since, and a receiver compares versions.
  bool NamesVersion = false;

  bool newerThan(const ConfigPosition &Other) const {
    if (Revision == 0 || Other.Revision == 0) // 0: there is no configuration.
      return Revision > Other.Revision;
    if (Epoch == Other.Epoch)
      return Revision > Other.Revision;
    return Version != Other.Version ? Version > Other.Version
                                    : Epoch > Other.Epoch;
  }

  // Whether both are the same object in the same state.
  bool isAt(uint64_t OtherEpoch, uint64_t OtherRevision) const {
    return Epoch == OtherEpoch && Revision == OtherRevision;
  }
};

// Writes Position into a message that has the fields configRevision,
// configEpoch and configVersion.
template <typename Message>
void setConfigPosition(Message &Target, const ConfigPosition &Position) {
  Target.configRevision = static_cast<int64_t>(Position.Revision);
  if (Position.Epoch == 0 && !Position.NamesVersion)
    return;
  Target.__set_configEpoch(static_cast<int64_t>(Position.Epoch));
  Target.__set_configVersion(Position.Version);
}

// Reads it back. The optional fields are 0 if they are not set.
template <typename Message>
ConfigPosition configPositionOf(const Message &Source) {
  return {static_cast<uint64_t>(Source.configEpoch),
          static_cast<uint64_t>(Source.configRevision), Source.configVersion};
}

} // namespace cyclamenwind

#endif
