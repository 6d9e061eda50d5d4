//===- announcement.cpp - What an upstream says about itself --------------===//
//
// JSON of announcements, with every check.
//
//===----------------------------------------------------------------------===//

#include "membership/announcement.h"
#include "framework/json/json.h"

#include <algorithm>
#include <arpa/inet.h>

namespace geraniumbay::membership {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::uint64_t MaxPort = 65535;
/// More slots or connections than this are taken for a mistake.
constexpr std::uint64_t MaxCount = 65536;

auto badField(const char *Name, const char *Reason) {
  return fail(ErrorCode::InvalidArgument,
              std::string("field '") + Name + "' " + Reason);
}

RetVal<std::string> readName(const Json::Value &Value, const char *Name) {
  BOOST_LEAF_AUTO(Text, json::readString(Value, Name));
  auto IsPrintable = [](unsigned char Byte) {
    return Byte > 0x20 && Byte < 0x7F;
  };
  if (Text.empty() || Text.size() > MaxNameLength ||
      !std::all_of(Text.begin(), Text.end(), IsPrintable))
    return badField(Name, "is not 1 to 128 printable characters");
  return Text;
}

RetVal<std::uint64_t> readInRange(const Json::Value &Value, const char *Name,
                                  std::uint64_t Low, std::uint64_t High) {
  BOOST_LEAF_AUTO(Number, json::readUint(Value, Name));
  if (Number < Low || Number > High)
    return badField(Name, "is out of range");
  return Number;
}

RetVal<std::uint32_t> readCount(const Json::Value &Value, const char *Name,
                                std::uint64_t Low) {
  BOOST_LEAF_AUTO(Count, readInRange(Value, Name, Low, MaxCount));
  return static_cast<std::uint32_t>(Count);
}

RetVal<Endpoint> readAddress(const Json::Value &Value) {
  Endpoint Address;
  BOOST_LEAF_ASSIGN(Address.Address, json::readString(Value, "address"));
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.Address.c_str(), &Parsed) != 1)
    return badField("address", "is not an IPv4 number");
  BOOST_LEAF_AUTO(Port, readInRange(Value, "port", 1, MaxPort));
  Address.Port = static_cast<std::uint16_t>(Port);
  return Address;
}

RetVal<WorkerState> readState(const Json::Value &Value) {
  BOOST_LEAF_AUTO(Name, json::readString(Value, "state"));
  if (Name == "serving")
    return WorkerState::Serving;
  if (Name == "leaving")
    return WorkerState::Leaving;
  return badField("state", "is neither 'serving' nor 'leaving'");
}

/// Reads what the worker offers, after its names and address.
Ret readOffer(const Json::Value &Value, WorkerAnnouncement &Announcement) {
  BOOST_LEAF_ASSIGN(Announcement.Slots, readCount(Value, "slots", 1));
  BOOST_LEAF_ASSIGN(Announcement.Connections,
                    readCount(Value, "connections", 1));
  BOOST_LEAF_ASSIGN(Announcement.Busy, readCount(Value, "busy", 0));
  BOOST_LEAF_AUTO(Starts, json::readUint(Value, "incarnation"));
  if (Starts == 0)
    return badField("incarnation", "is 0");
  BOOST_LEAF_AUTO(Sequence, json::readUint(Value, "sequence"));
  Announcement.Version = {Incarnation(Starts), Sequence};
  BOOST_LEAF_ASSIGN(Announcement.State, readState(Value));
  return {};
}

} // namespace

RetVal<WorkerAnnouncement> readAnnouncement(const Json::Value &Value) {
  WorkerAnnouncement Announcement;
  BOOST_LEAF_AUTO(Worker, readName(Value, "worker"));
  Announcement.Worker = WorkerId(std::move(Worker));
  BOOST_LEAF_ASSIGN(Announcement.Address, readAddress(Value));
  BOOST_LEAF_AUTO(DataCentre, readName(Value, "data_centre"));
  Announcement.DataCentre = DataCentreId(std::move(DataCentre));
  BOOST_LEAF_ASSIGN(Announcement.Rack, readName(Value, "rack"));
  BOOST_LEAF_AUTO(Service, readName(Value, "service"));
  Announcement.Service = ServiceId(std::move(Service));
  BOOST_LEAF_CHECK(readOffer(Value, Announcement));
  return Announcement;
}

Json::Value announcementJson(const WorkerAnnouncement &Announcement) {
  Json::Value Value;
  Value["worker"] = Announcement.Worker.value();
  Value["address"] = Announcement.Address.Address;
  Value["port"] = Announcement.Address.Port;
  Value["data_centre"] = Announcement.DataCentre.value();
  Value["rack"] = Announcement.Rack;
  Value["service"] = Announcement.Service.value();
  Value["slots"] = Announcement.Slots;
  Value["connections"] = Announcement.Connections;
  Value["busy"] = Announcement.Busy;
  Value["incarnation"] = Json::UInt64(Announcement.Version.Incarnation.value());
  Value["sequence"] = Json::UInt64(Announcement.Version.Sequence);
  Value["state"] =
      Announcement.State == WorkerState::Serving ? "serving" : "leaving";
  return Value;
}

} // namespace geraniumbay::membership
