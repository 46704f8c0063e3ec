#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_EXITSTATUS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_EXITSTATUS_HPP

namespace samphiresail::operators {

/// Exit statuses of the operators' commands; docs/OPERATIONS.md lists them.
enum ExitStatus : int
{
  Success = 0,
  Failure = 1,
  /// The file has findings; nothing was applied.
  FileHasFindings = 2,
  /// Another operator changed the catalogue; nothing was applied.
  Conflict = 3,
  /// The store was not reachable; nothing was written.
  StoreUnreachable = 4,
  /// The change may have been written.
  MayBeWritten = 5,
  /// The change is written and no majority of entries has acknowledged it yet.
  WrittenNotAccepted = 6,
  /// A client account, key or availability zone is not declared.
  UnknownName = 7,
  /// `diff` found differences.
  Differs = 8,
  /// Some processes did not answer.
  Incomplete = 9,
};

}

#endif
