//===- raftwire.cpp - JSON forms of the consensus -------------------------===//
//
// Members, log entries, snapshots, the hard state and messages.
//
//===----------------------------------------------------------------------===//

#include "control/internal/wire.h"

namespace geraniumbay::control::wire {

namespace {

constexpr const char *NoopKind = "noop";
constexpr const char *MembersKind = "members";
constexpr const char *ConfigKind = "config";
constexpr const char *LedgerKind = "ledger";
constexpr const char *BatchKind = "batch";

struct EntryWriter {
  Json::Value &Result;

  void operator()(const Noop & /*Body*/) const { Result["kind"] = NoopKind; }
  void operator()(const Membership &Body) const { put(MembersKind, Body); }
  void operator()(const ConfigChange &Body) const { put(ConfigKind, Body); }
  void operator()(const LedgerChange &Body) const { put(LedgerKind, Body); }
  void operator()(const ModuleBatch &Body) const {
    Result["kind"] = BatchKind;
    Result["changes"] = Body.Changes;
  }

  template <typename T> void put(const char *Kind, const T &Body) const {
    Result["kind"] = Kind;
    Result["body"] = write(Body);
  }
};

RetVal<Command> readCommand(const Json::Value &From) {
  BOOST_LEAF_AUTO(Kind, json::readString(From, "kind"));
  if (Kind == NoopKind)
    return Command(Noop{});
  if (Kind == BatchKind) {
    BOOST_LEAF_AUTO(Changes, json::readString(From, "changes"));
    return Command(ModuleBatch{std::move(Changes)});
  }
  BOOST_LEAF_AUTO(Body, json::readObject(From, "body"));
  if (Kind == MembersKind) {
    BOOST_LEAF_AUTO(Members, readMembership(Body));
    return Command(std::move(Members));
  }
  if (Kind == ConfigKind) {
    BOOST_LEAF_AUTO(Change, readConfigChange(Body));
    return Command(std::move(Change));
  }
  if (Kind == LedgerKind) {
    BOOST_LEAF_AUTO(Change, readLedgerChange(Body));
    return Command(std::move(Change));
  }
  return fail(ErrorCode::InvalidArgument, "unknown kind of log entry");
}

/// Writes the fields of a message body and its kind.
struct BodyWriter {
  Json::Value &Result;

  void operator()(const VoteRequest &Body) const {
    Result["kind"] = "vote";
    Result["pre"] = Body.Pre;
    Result["last"] = Json::UInt64(Body.LastIndex.value());
    Result["last_term"] = Json::UInt64(Body.LastTerm.value());
    if (Body.HandedOver)
      Result["handed_over"] = true;
    if (Body.NobodyLeads)
      Result["nobody_leads"] = true;
  }
  void operator()(const TakeOver & /*Body*/) const {
    Result["kind"] = "take_over";
  }
  void operator()(const VoteResponse &Body) const {
    Result["kind"] = "voted";
    Result["pre"] = Body.Pre;
    Result["granted"] = Body.Granted;
    if (Body.OnlyPromised)
      Result["only_promised"] = true;
  }
  void operator()(const AppendRequest &Body) const {
    Result["kind"] = "append";
    Result["previous"] = Json::UInt64(Body.Previous.value());
    Result["previous_term"] = Json::UInt64(Body.PreviousTerm.value());
    Result["commit"] = Json::UInt64(Body.Commit.value());
    if (!Body.Entries.empty())
      Result["entries"] = writeList(Body.Entries);
  }
  void operator()(const AppendResponse &Body) const {
    Result["kind"] = "appended";
    Result["success"] = Body.Success;
    Result["match"] = Json::UInt64(Body.Match.value());
  }
  void operator()(const SnapshotRequest &Body) const {
    Result["kind"] = "snapshot";
    Result["state"] = write(Body.State);
  }
  void operator()(const FindGroup & /*Body*/) const { Result["kind"] = "find"; }
  void operator()(const FindGroupAnswer &Body) const {
    Result["kind"] = "found";
    Result["knows_group"] = Body.KnowsGroup;
    if (Body.Leader)
      Result["leader"] = Body.Leader->value();
  }
  void operator()(const FoundGroup &Body) const {
    Result["kind"] = "founding";
    Result["founders"] = write(Body.Founders);
  }
};

RetVal<MessageBody> readVote(const Json::Value &From) {
  VoteRequest Body;
  BOOST_LEAF_ASSIGN(Body.Pre, json::readBoolOr(From, "pre", false));
  BOOST_LEAF_ASSIGN(Body.LastIndex, readNumber<LogIndex>(From, "last"));
  BOOST_LEAF_ASSIGN(Body.LastTerm, readNumber<Term>(From, "last_term"));
  BOOST_LEAF_ASSIGN(Body.HandedOver,
                    json::readBoolOr(From, "handed_over", false));
  BOOST_LEAF_ASSIGN(Body.NobodyLeads,
                    json::readBoolOr(From, "nobody_leads", false));
  return MessageBody(Body);
}

RetVal<MessageBody> readVoted(const Json::Value &From) {
  VoteResponse Body;
  BOOST_LEAF_ASSIGN(Body.Pre, json::readBoolOr(From, "pre", false));
  BOOST_LEAF_ASSIGN(Body.Granted, json::readBoolOr(From, "granted", false));
  BOOST_LEAF_ASSIGN(Body.OnlyPromised,
                    json::readBoolOr(From, "only_promised", false));
  return MessageBody(Body);
}

RetVal<MessageBody> readAppend(const Json::Value &From) {
  AppendRequest Body;
  BOOST_LEAF_ASSIGN(Body.Previous, readNumber<LogIndex>(From, "previous"));
  BOOST_LEAF_ASSIGN(Body.PreviousTerm, readNumber<Term>(From, "previous_term"));
  BOOST_LEAF_ASSIGN(Body.Commit, readNumber<LogIndex>(From, "commit"));
  BOOST_LEAF_ASSIGN(Body.Entries,
                    readList<LogEntry>(From, "entries", readEntry));
  return MessageBody(std::move(Body));
}

RetVal<MessageBody> readAppended(const Json::Value &From) {
  AppendResponse Body;
  BOOST_LEAF_ASSIGN(Body.Success, json::readBoolOr(From, "success", false));
  BOOST_LEAF_ASSIGN(Body.Match, readNumber<LogIndex>(From, "match"));
  return MessageBody(Body);
}

RetVal<MessageBody> readFounding(const Json::Value &From) {
  BOOST_LEAF_AUTO(Founders, json::readObject(From, "founders"));
  FoundGroup Body;
  BOOST_LEAF_ASSIGN(Body.Founders, readMembership(Founders));
  return MessageBody(std::move(Body));
}

RetVal<MessageBody> readSnapshotRequest(const Json::Value &From) {
  BOOST_LEAF_AUTO(State, json::readObject(From, "state"));
  SnapshotRequest Body;
  BOOST_LEAF_ASSIGN(Body.State, readSnapshot(State));
  return MessageBody(std::move(Body));
}

RetVal<MessageBody> readBody(const Json::Value &From) {
  BOOST_LEAF_AUTO(Kind, json::readString(From, "kind"));
  if (Kind == "take_over")
    return MessageBody(TakeOver{});
  if (Kind == "vote")
    return readVote(From);
  if (Kind == "voted")
    return readVoted(From);
  if (Kind == "append")
    return readAppend(From);
  if (Kind == "appended")
    return readAppended(From);
  if (Kind == "snapshot")
    return readSnapshotRequest(From);
  if (Kind == "find")
    return MessageBody(FindGroup{});
  if (Kind == "founding")
    return readFounding(From);
  if (Kind != "found")
    return fail(ErrorCode::InvalidArgument, "unknown kind of message");
  FindGroupAnswer Answer;
  BOOST_LEAF_ASSIGN(Answer.KnowsGroup,
                    json::readBoolOr(From, "knows_group", true));
  BOOST_LEAF_AUTO(Leader, json::readStringOr(From, "leader", ""));
  if (!Leader.empty())
    Answer.Leader = VmId(std::move(Leader));
  return MessageBody(std::move(Answer));
}

} // namespace

Json::Value write(const MemberId &Value) {
  Json::Value Result(Json::objectValue);
  Result["vm"] = Value.Vm.value();
  Result["disk"] = Json::UInt64(Value.Disk.value());
  return Result;
}

RetVal<MemberId> readMember(const Json::Value &From) {
  MemberId Result;
  BOOST_LEAF_ASSIGN(Result.Vm, readName<VmId>(From, "vm"));
  BOOST_LEAF_ASSIGN(Result.Disk, readNumber<Generation>(From, "disk"));
  return Result;
}

Json::Value write(const Membership &Value) {
  Json::Value Result(Json::objectValue);
  Result["voters"] = writeList(Value.Voters);
  Result["learners"] = writeList(Value.Learners);
  return Result;
}

RetVal<Membership> readMembership(const Json::Value &From) {
  Membership Result;
  BOOST_LEAF_ASSIGN(Result.Voters,
                    readList<MemberId>(From, "voters", readMember));
  BOOST_LEAF_ASSIGN(Result.Learners,
                    readList<MemberId>(From, "learners", readMember));
  return Result;
}

Json::Value write(const LogEntry &Value) {
  Json::Value Result(Json::objectValue);
  Result["term"] = Json::UInt64(Value.At.value());
  std::visit(EntryWriter{Result}, Value.Body);
  return Result;
}

RetVal<LogEntry> readEntry(const Json::Value &From) {
  LogEntry Result;
  BOOST_LEAF_ASSIGN(Result.At, readNumber<Term>(From, "term"));
  BOOST_LEAF_ASSIGN(Result.Body, readCommand(From));
  return Result;
}

Json::Value write(const Snapshot &Value) {
  Json::Value Result(Json::objectValue);
  Result["last"] = Json::UInt64(Value.Last.value());
  Result["last_term"] = Json::UInt64(Value.LastTerm.value());
  Result["members"] = write(Value.Members);
  Result["machine"] = write(Value.Machine);
  return Result;
}

RetVal<Snapshot> readSnapshot(const Json::Value &From) {
  Snapshot Result;
  BOOST_LEAF_ASSIGN(Result.Last, readNumber<LogIndex>(From, "last"));
  BOOST_LEAF_ASSIGN(Result.LastTerm, readNumber<Term>(From, "last_term"));
  BOOST_LEAF_AUTO(Members, json::readObject(From, "members"));
  BOOST_LEAF_ASSIGN(Result.Members, readMembership(Members));
  BOOST_LEAF_AUTO(Machine, json::readObject(From, "machine"));
  BOOST_LEAF_ASSIGN(Result.Machine, readMachine(Machine));
  return Result;
}

Json::Value write(const HardState &Value) {
  Json::Value Result(Json::objectValue);
  Result["group"] = Json::UInt64(Value.Group.value());
  Result["founders"] = write(Value.Founders);
  Result["had_group"] = Value.HadGroup;
  Result["term"] = Json::UInt64(Value.Current.value());
  if (Value.Vote)
    Result["vote"] = write(*Value.Vote);
  return Result;
}

RetVal<HardState> readHardState(const Json::Value &From) {
  HardState Result;
  BOOST_LEAF_ASSIGN(Result.Group, readNumber<GroupId>(From, "group"));
  BOOST_LEAF_AUTO(Founders, json::readObject(From, "founders"));
  BOOST_LEAF_ASSIGN(Result.Founders, readMembership(Founders));
  BOOST_LEAF_ASSIGN(Result.HadGroup,
                    json::readBoolOr(From, "had_group", false));
  BOOST_LEAF_ASSIGN(Result.Current, readNumber<Term>(From, "term"));
  if (!hasField(From, "vote"))
    return Result;
  BOOST_LEAF_AUTO(Vote, json::readObject(From, "vote"));
  BOOST_LEAF_ASSIGN(Result.Vote, readMember(Vote));
  return Result;
}

Json::Value write(const Message &Value) {
  Json::Value Result(Json::objectValue);
  Result["group"] = Json::UInt64(Value.Group.value());
  Result["from"] = write(Value.From);
  Result["to"] = write(Value.To);
  Result["term"] = Json::UInt64(Value.At.value());
  std::visit(BodyWriter{Result}, Value.Body);
  return Result;
}

RetVal<Message> readMessage(const Json::Value &From) {
  Message Result;
  BOOST_LEAF_ASSIGN(Result.Group, readNumber<GroupId>(From, "group"));
  BOOST_LEAF_AUTO(Sender, json::readObject(From, "from"));
  BOOST_LEAF_ASSIGN(Result.From, readMember(Sender));
  BOOST_LEAF_AUTO(Target, json::readObject(From, "to"));
  BOOST_LEAF_ASSIGN(Result.To, readMember(Target));
  BOOST_LEAF_ASSIGN(Result.At, readNumber<Term>(From, "term"));
  BOOST_LEAF_ASSIGN(Result.Body, readBody(From));
  return Result;
}

} // namespace geraniumbay::control::wire
