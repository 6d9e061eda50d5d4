//===- istorage.h - Files of one data folder --------------------*- C++ -*-===//
//
// The files of one role in the data folder. What was appended is durable only
// after a sync that began later has succeeded.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_ISTORAGE_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_ISTORAGE_H

#include "framework/errors/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumbay {

/// A flat folder of files. Names have no '/'. Failures are ErrorCode::Io, and
/// NotFound for a missing file.
class IStorage {
public:
  using SyncCallback = std::function<void(Outcome<Done>)>;

  virtual ~IStorage() = default;

  /// Returns the names of all files, sorted.
  virtual RetVal<std::vector<std::string>> list() = 0;
  /// Returns the whole content of \p Name.
  virtual RetVal<std::string> read(const std::string &Name) = 0;
  /// Appends \p Bytes to \p Name, which is created if it is missing. On
  /// failure (a full disk) nothing of \p Bytes counts as appended.
  virtual Ret append(const std::string &Name, std::string_view Bytes) = 0;
  /// Makes all that was appended to \p Name before this call durable, then
  /// calls \p Done, never before sync() returns. After a failed sync nothing
  /// about the unsynced bytes is known: the caller must stop using the file.
  virtual void sync(const std::string &Name, SyncCallback Done) = 0;
  /// Replaces \p Name by \p Bytes as one atomic, durable step. Blocks the loop
  /// for the time of two syncs: for rare, small files only.
  virtual Ret replace(const std::string &Name, std::string_view Bytes) = 0;
  /// Cuts \p Name to its first \p Size bytes, durably.
  virtual Ret truncate(const std::string &Name, std::uint64_t Size) = 0;
  /// Removes \p Name, durably. A missing file is no failure.
  virtual Ret remove(const std::string &Name) = 0;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_ISTORAGE_H
