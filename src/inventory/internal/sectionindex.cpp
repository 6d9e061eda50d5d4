//===- sectionindex.cpp - The sections of a document by title -------------===//
//
// Building the index and finding places in it.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/sectionindex.h"

namespace geraniumbay::inventory {

SectionIndex::SectionIndex(std::vector<IniSection> &&Sections,
                           ProblemList &Found) {
  for (IniSection &Section : Sections) {
    std::string Title = Section.title();
    auto [Place, Fresh] = Sections_.try_emplace(Title, std::move(Section));
    if (Fresh)
      continue;
    const IniSection &First = Place->second;
    Found.add({Section.File, Section.Line, printable(Title),
               "double section; it already stands in " + First.File + " line " +
                   std::to_string(First.Line)});
  }
}

bool SectionIndex::hasKey(const std::string &Title,
                          const std::string &Key) const {
  auto Section = Sections_.find(Title);
  return Section != Sections_.end() && Section->second.Entries.contains(Key);
}

Problem SectionIndex::problem(const std::string &Title, const std::string &Key,
                              std::string Message) const {
  std::string Name = Key.empty() ? Title : Title + "." + Key;
  auto Section = Sections_.find(Title);
  if (Section == Sections_.end())
    return {"", 0, std::move(Name), std::move(Message)};
  auto Entry = Section->second.Entries.find(Key);
  bool HasKey = Entry != Section->second.Entries.end();
  return {Section->second.File,
          HasKey ? Entry->second.Line : Section->second.Line, std::move(Name),
          std::move(Message)};
}

} // namespace geraniumbay::inventory
