//===- textfile.cpp - Reading whole files and secrets ---------------------===//
//
// Reads small files at the start of a process, and checks that secrets are
// kept from others.
//
//===----------------------------------------------------------------------===//

#include "inventory/textfile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sys/stat.h>

namespace geraniumbay::inventory {
namespace {

constexpr std::size_t MaxSecretBytes = 16384;
constexpr std::size_t MinSecretLength = 16;
/// Permission bits that a secret file may have: read and write by the owner.
constexpr mode_t SecretMode = S_IRUSR | S_IWUSR;
constexpr mode_t PermissionBits = 07777;

RetVal<struct stat> fileStatus(const std::string &Path) {
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) == 0)
    return Status;
  ErrorCode Code = errno == ENOENT ? ErrorCode::NotFound : ErrorCode::Io;
  return fail(Code, Path + ": " + std::strerror(errno)); // NOLINT
}

} // namespace

RetVal<std::string> readTextFile(const std::string &Path,
                                 std::size_t MaxBytes) {
  BOOST_LEAF_AUTO(Status, fileStatus(Path));
  if (!S_ISREG(Status.st_mode))
    return fail(ErrorCode::InvalidArgument, Path + ": not a regular file");
  if (static_cast<std::size_t>(Status.st_size) > MaxBytes)
    return fail(ErrorCode::InvalidArgument,
                Path + ": longer than " + std::to_string(MaxBytes) + " bytes");
  std::ifstream In(Path, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (!In.is_open() || In.bad())
    return fail(ErrorCode::Io, Path + ": cannot be read");
  return Text;
}

RetVal<std::vector<SourceText>>
readSources(const std::vector<std::string> &Paths) {
  std::vector<SourceText> Result;
  for (const std::string &Path : Paths) {
    BOOST_LEAF_AUTO(Text, readTextFile(Path, MaxDocumentBytes));
    Result.push_back({Path, std::move(Text)});
  }
  return Result;
}

RetVal<std::string> readSecretFile(const std::string &Path) {
  BOOST_LEAF_AUTO(Status, fileStatus(Path));
  if ((Status.st_mode & PermissionBits & ~SecretMode) != 0)
    return fail(ErrorCode::Refused,
                Path + ": others may use it; allowed: mode 0600 or 0400");
  BOOST_LEAF_AUTO(Secret, readTextFile(Path, MaxSecretBytes));
  while (Secret.ends_with('\n') || Secret.ends_with('\r'))
    Secret.pop_back();
  if (Secret.size() < MinSecretLength)
    return fail(ErrorCode::InvalidArgument,
                Path + ": shorter than " + std::to_string(MinSecretLength) +
                    " characters");
  return Secret;
}

} // namespace geraniumbay::inventory
