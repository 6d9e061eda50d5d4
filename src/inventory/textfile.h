//===- textfile.h - Reading whole files and secrets -------------*- C++ -*-===//
//
// Reads small files at the start of a process or command. Blocks; not for use
// while requests are served.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_TEXTFILE_H
#define GERANIUMBAY_INVENTORY_TEXTFILE_H

#include "framework/errors/error.h"
#include "inventory/document.h"

#include <string>
#include <vector>

namespace geraniumbay::inventory {

/// Returns the whole file \p Path. Fails with NotFound, Io, or InvalidArgument
/// if it is longer than \p MaxBytes or not a regular file.
RetVal<std::string> readTextFile(const std::string &Path, std::size_t MaxBytes);

/// Returns the files \p Paths, each under its path, for parseDocument() and
/// joinSources(). Fails like readTextFile.
RetVal<std::vector<SourceText>>
readSources(const std::vector<std::string> &Paths);

/// Returns the secret in the file \p Path without the line end. Fails like
/// readTextFile, with Refused unless only its owner may read or write it
/// (mode 0600 or 0400), and with InvalidArgument if it is shorter than 16
/// characters.
RetVal<std::string> readSecretFile(const std::string &Path);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_TEXTFILE_H
