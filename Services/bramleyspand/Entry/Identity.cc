#include "Kernel/Digest.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

Result<const catalogue::Owner*> Authenticate(const EntryState& state,
                                             const http::Request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto credentials = http::FindHeader(request.headers, "authorization");
  if (!credentials.starts_with(kScheme)) {
    return Fail(ErrorCode::kUnauthenticated, "authorization",
                "show an owner's key as 'Authorization: Bearer KEY'");
  }
  const catalogue::Owner* owner = catalogue::FindOwnerByKeyDigest(
      state.feed.current(), Sha256Hex(credentials.substr(kScheme.size())));
  if (owner == nullptr) {
    return Fail(ErrorCode::kUnauthenticated, "authorization",
                "no owner has this key");
  }
  return owner;
}

}  // namespace

Result<const catalogue::Entry*> FindEntry(const EntryState& state,
                                          const http::Request& request) {
  const catalogue::Owner* owner = TRY(Authenticate(state, request));
  const std::string name(
      http::FindHeader(request.headers, "bramleyspan-entry"));
  const auto& entries = state.feed.current().entries;
  const auto found = entries.find(name);
  if (found == entries.end() || found->second.owner != owner->name) {
    return Fail(ErrorCode::kForbidden, "entry '" + name + "'",
                "name one of your own in the header Bramleyspan-Entry");
  }
  return &found->second;
}

}  // namespace bramleyspan::entry
