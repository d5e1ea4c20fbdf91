#include "LibPlatform/OwnDocuments.h"

#include <utility>

namespace bramleyspan::platform {

void OwnDocuments::Write(const std::string& key,
                         std::string value,
                         OnDone on_done) {
  const auto [known, is_new] = this->revisions.try_emplace(key, uint64_t{0});
  if (known->second) {
    this->Put(key, std::move(value), std::move(on_done));
    return;
  }
  this->ReadThenPut(key, std::move(value), std::move(on_done));
}

void OwnDocuments::Put(const std::string& key,
                       std::string value,
                       OnDone on_done) {
  PutCall call{.key = key,
               .value = std::move(value),
               .expected_revision = this->revisions.at(key)};
  this->store.put(std::move(call), [this, key, on_done = std::move(on_done)](
                                       const Result<uint64_t>& written) {
    if (written.has_value()) {
      this->revisions[key] = written.value();
      on_done(Succeed());
      return;
    }
    // A write that was certainly not executed leaves the key as it was.
    if (written.error().code != ErrorCode::kUnavailable) {
      this->revisions[key].reset();
    }
    on_done(boost::outcome_v2::failure(written.error()));
  });
}

void OwnDocuments::ReadThenPut(const std::string& key,
                               std::string value,
                               OnDone on_done) {
  this->store.range(
      {.prefix = key},
      [this, key, value = std::move(value),
       on_done = std::move(on_done)](const Result<RangePage>& page) mutable {
        if (page.has_error()) {
          on_done(boost::outcome_v2::failure(page.error()));
          return;
        }
        uint64_t revision = 0;
        for (const StoreItem& item : page.value().items) {
          // The range also has longer keys with this one as a prefix.
          if (item.key == key) {
            revision = item.revision;
          }
        }
        this->revisions[key] = revision;
        this->Put(key, std::move(value), std::move(on_done));
      });
}

}  // namespace bramleyspan::platform
