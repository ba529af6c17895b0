// OutlierEjector: which members' backend servers are left out of the choice for
// a while because of how calls on them ended.
//
// What a server's health endpoint says is not asked: it lags and misleads. A
// member is ejected after several failures in a row, or when its share of
// failures or its latency stands out from the others of its service. An
// ejection ends after a time that doubles with each one in a row; then the
// member takes calls on trial and is ejected again at the next sign. The caller
// bounds how many are left out at a time. Pure deciding code.

#ifndef CYCLAMENWIND_TRAFFIC_EJECTION_H
#define CYCLAMENWIND_TRAFFIC_EJECTION_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/traffic/call_outcome.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwind {

class OutlierEjector {
public:
  // A call on MemberId, a server of Service, ended. Status is the HTTP status
  // of an answer.
  void observed(const std::string &Service, const std::string &MemberId,
                CallOutcome End, CallReason Reason, int Status,
                Duration Latency, TimePoint Now);

  bool ejected(const std::string &MemberId, TimePoint Now) const;

  // When the last ejection ends or ended; the epoch if there was none.
  TimePoint ejectedUntil(const std::string &MemberId) const;

private:
  struct Record {
    std::string Service;
    double Latency = 0; // Microseconds, smoothed.
    double FailureShare = 0;
    int Samples = 0;
    int FailuresInRow = 0;
    int Ejections = 0;
    TimePoint EjectedUntil;
    TimePoint LastEjected;
  };

  void eject(Record &Outlier, TimePoint Now);
  bool standsOut(const Record &Candidate) const;

  std::map<std::string, Record> Records;
};

} // namespace cyclamenwind

#endif
