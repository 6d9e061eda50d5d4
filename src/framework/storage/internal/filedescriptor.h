//===- filedescriptor.h - An open file that closes itself -------*- C++ -*-===//
//
// Owns a file descriptor of the operating system.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_FILEDESCRIPTOR_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_FILEDESCRIPTOR_H

#include <unistd.h>
#include <utility>

namespace geraniumbay {

/// A file descriptor, closed by its destructor.
class FileDescriptor {
public:
  explicit FileDescriptor(int Handle = Closed) : Handle_(Handle) {}
  FileDescriptor(FileDescriptor &&Other) noexcept
      : Handle_(std::exchange(Other.Handle_, Closed)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(Handle_, Other.Handle_);
    return *this;
  }
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;
  ~FileDescriptor() {
    if (valid())
      ::close(Handle_);
  }

  bool valid() const { return Handle_ != Closed; }
  int get() const { return Handle_; }

private:
  static constexpr int Closed = -1;

  int Handle_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_FILEDESCRIPTOR_H
