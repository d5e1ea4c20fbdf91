// Keeps the quarantines of one kind in the store, which outlives the gateways.
// One document a part; requests do not wait for the writes.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "LibGateway/Quarantine.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class QuarantineDocuments {
 public:
  using OnRead = std::function<void(const gateway::PartKey& key,
                                    const gateway::PartRecord& record)>;

  // The store removes documents after `lifetime`, unless that is 0.
  QuarantineDocuments(GatewayState& state,
                      std::string_view prefix,
                      Duration lifetime)
      : state(state), prefix(prefix), lifetime(lifetime) {}

  // Reads all documents, repeatedly until the store answers.
  void Read(const OnRead& on_read);

  // Writes or removes the document of a part, repeatedly until the store has
  // done so or the part changes again.
  void Write(const gateway::PartKey& key, const gateway::PartRecord& record);
  void Remove(const gateway::PartKey& key);

 private:
  // What a document is to be; it is removed if the value is empty.
  struct Pending {
    std::string value;
    uint64_t number = 0;
  };

  std::string KeyOf(const gateway::PartKey& key) const;
  void ReadPage(const std::string& after, const OnRead& on_read);
  void Store(const std::string& key, std::string value);
  void Send(const std::string& key, uint64_t number);
  // Sends after a lease was granted that lasts for long enough.
  void SendWithLease(const std::string& key, uint64_t number);
  bool has_lease() const;
  void HandleDone(const std::string& key, uint64_t number, bool is_done);

  GatewayState& state;
  std::map<std::string, Pending> pending;
  uint64_t last_number = 0;
  std::string prefix;
  Duration lifetime;
  uint64_t lease = 0;
  TimePoint leased_at;
};

}  // namespace bramleyspan::gatewayd
