//===- document.cpp - The operators' configuration document ---------------===//
//
// Reads the sections one by one by their tables, then checks them together.
//
//===----------------------------------------------------------------------===//

#include "inventory/document.h"
#include "inventory/internal/documentchecks.h"
#include "inventory/internal/documentkeys.h"

#include <functional>

namespace geraniumbay::inventory {
namespace {

/// How one kind of section is read, written and listed.
struct SectionKind {
  std::string Kind;
  /// There is one section for each name; else at most one in all.
  bool Named;
  std::function<void(const IniSection &, Document &, ProblemList &)> Read;
  std::function<std::string(const Document &)> Write;
  std::function<void(std::vector<KeyInfo> &)> List;
};

/// A kind that fills the map \p Field of the inventory, one entry a section.
template <typename ValueT, typename IdT>
SectionKind namedKind(const std::string &Kind,
                      std::map<IdT, ValueT> Inventory::*Field,
                      const KeyTable<ValueT> &Keys) {
  auto Read = [=, &Keys](const IniSection &Section, Document &Doc,
                         ProblemList &Found) {
    ValueT Value;
    Value.Name = IdT(Section.Name);
    readSection(Section, Keys, Value, Found);
    (Doc.Inv.*Field).emplace(Value.Name, Value);
  };
  auto Write = [=, &Keys](const Document &Doc) {
    std::string Result;
    for (const auto &[Name, Value] : Doc.Inv.*Field)
      Result += writeSection(Kind + " " + Name.value(), Keys, Value);
    return Result;
  };
  auto List = [=, &Keys](std::vector<KeyInfo> &Into) {
    listKeys(Kind + " NAME", Keys, Into);
  };
  return {Kind, true, Read, Write, List};
}

/// A kind that fills the part of the rules that \p Part returns.
template <typename ValueT, typename PartT>
SectionKind ruleKind(const std::string &Kind, PartT Part,
                     const KeyTable<ValueT> &Keys) {
  auto Read = [=, &Keys](const IniSection &Section, Document &Doc,
                         ProblemList &Found) {
    readSection(Section, Keys, Part(Doc.Rule), Found);
  };
  auto Write = [=, &Keys](const Document &Doc) {
    return writeSection(Kind, Keys, Part(Doc.Rule));
  };
  auto List = [=, &Keys](std::vector<KeyInfo> &Into) {
    listKeys(Kind, Keys, Into);
  };
  return {Kind, false, Read, Write, List};
}

/// The kinds of sections, in the order in which they are written.
const std::vector<SectionKind> &sectionKinds() {
  auto All = [](auto &Rule) -> auto & { return Rule; };
  auto Budget = [](auto &Rule) -> auto & { return Rule.Budget; };
  auto Limit = [](auto &Rule) -> auto & { return Rule.Limit; };
  auto Timeout = [](auto &Rule) -> auto & { return Rule.Timeout; };
  static const std::vector<SectionKind> Kinds{
      namedKind("data_centre", &Inventory::DataCentres, dataCentreKeys()),
      namedKind("vm", &Inventory::Vms, vmKeys()),
      namedKind("rack", &Inventory::Racks, rackKeys()),
      namedKind("service", &Inventory::Services, serviceKeys()),
      namedKind("team", &Inventory::Teams, teamKeys()),
      namedKind("caller", &Inventory::Callers, callerKeys()),
      ruleKind("rules", All, rulesKeys()),
      ruleKind("budgets", Budget, budgetKeys()),
      ruleKind("limits", Limit, limitKeys()),
      ruleKind("timeouts", Timeout, timeoutKeys()),
  };
  return Kinds;
}

std::string allowedHeaders() {
  std::string Result;
  for (const SectionKind &Kind : sectionKinds())
    Result += (Result.empty() ? "[" : ", [") + Kind.Kind +
              (Kind.Named ? " NAME]" : "]");
  return Result;
}

/// Returns the kind of \p Section, or reports its header and returns null.
const SectionKind *kindOf(const IniSection &Section, ProblemList &Found) {
  auto Report = [&](std::string Message) {
    Found.add({Section.File, Section.Line, printable(Section.title()),
               std::move(Message)});
    return nullptr;
  };
  for (const SectionKind &Kind : sectionKinds()) {
    if (Kind.Kind != Section.Kind)
      continue;
    if (Kind.Named && !isName(Section.Name))
      return Report(quoted(Section.Name) + " is not " + allowedNames());
    if (!Kind.Named && !Section.Name.empty())
      return Report("a name in the header; allowed: [" + Kind.Kind + "]");
    return &Kind;
  }
  return Report("unknown section; allowed: " + allowedHeaders());
}

/// Fills in what follows from other keys.
void resolveDefaults(Document &Doc, const SectionIndex &Index) {
  const Percent HedgeWhenMessagesMatter(1);
  for (auto &[Name, Value] : Doc.Inv.Services) {
    std::string Title = "service " + Name.value();
    if (!Index.hasKey(Title, "largest_task_cores"))
      Value.LargestTask.Cores = Value.Worker.Cores;
    if (!Index.hasKey(Title, "largest_task_memory"))
      Value.LargestTask.Memory = Value.Worker.Memory;
  }
  if (Doc.Rule.Weight == MessageWeight::Messages &&
      !Index.hasKey("budgets", "hedge"))
    Doc.Rule.Budget.Hedge = HedgeWhenMessagesMatter;
}

std::vector<IniSection> readSections(const std::vector<SourceText> &Sources,
                                     ProblemList &Found) {
  std::vector<IniSection> All;
  std::size_t Size = 0;
  for (const SourceText &Source : Sources) {
    Size += Source.Text.size();
    if (Size > MaxDocumentBytes) {
      Found.add({Source.File, 0, "",
                 "too long; allowed: " + std::to_string(MaxDocumentBytes) +
                     " bytes in all"});
      return All;
    }
    for (IniSection &Section : readIni(Source, Found))
      All.push_back(std::move(Section));
  }
  return All;
}

} // namespace

Checked<Document> parseDocument(const std::vector<SourceText> &Sources) {
  ProblemList Found;
  SectionIndex Index(readSections(Sources, Found), Found);
  Document Doc;
  for (const auto &[Title, Section] : Index.sections())
    if (const SectionKind *Kind = kindOf(Section, Found))
      Kind->Read(Section, Doc, Found);
  resolveDefaults(Doc, Index);
  checkDocument(Doc, Index, Found);
  if (!Found.empty())
    return Found.take();
  return Doc;
}

Checked<Document> parseDocument(std::string_view Text,
                                const std::string &File) {
  return parseDocument(std::vector<SourceText>{{File, std::string(Text)}});
}

std::string joinSources(const std::vector<SourceText> &Sources) {
  std::string Result;
  for (const SourceText &Source : Sources) {
    Result += Source.Text;
    if (!Result.empty() && Result.back() != '\n')
      Result += '\n';
  }
  return Result;
}

std::string writeDocument(const Document &Doc) {
  std::string Result;
  for (const SectionKind &Kind : sectionKinds())
    Result += Kind.Write(Doc);
  return Result;
}

std::vector<KeyInfo> documentKeys() {
  std::vector<KeyInfo> Result;
  for (const SectionKind &Kind : sectionKinds())
    Kind.List(Result);
  return Result;
}

} // namespace geraniumbay::inventory
