#include "LibGateway/EventReader.h"

#include <algorithm>
#include <charconv>

namespace bramleyspan::gateway {

namespace {

// Removes and returns the first line of an event, without its line feed.
std::string_view TakeLine(std::string_view& event) {
  const size_t end = event.find('\n');
  const std::string_view line = event.substr(0, end);
  event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
  return line;
}

// Returns the number in the event's last `id` line that has one.
std::optional<uint64_t> FindId(std::string_view event) {
  std::optional<uint64_t> id;
  while (!event.empty()) {
    std::string_view line = TakeLine(event);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    uint64_t value = 0;
    const char* line_end = line.data() + line.size();
    const auto [stop, failure] = std::from_chars(line.data(), line_end, value);
    if (failure == std::errc{} && stop == line_end) {
      id = value;
    }
  }
  return id;
}

constexpr std::string_view kBlankLine = "\r\n\r\n";

// Returns the number of bytes up to and including the first blank line that
// ends after the first `searched` bytes; 0 if there is none.
size_t FindEventEnd(std::string_view bytes, size_t searched) {
  const size_t from = searched - std::min(searched, kBlankLine.size() - 1);
  const size_t lf = bytes.find("\n\n", from);
  const size_t crlf = bytes.find(kBlankLine, from);
  const size_t lf_end = lf == std::string_view::npos ? bytes.npos : lf + 2;
  const size_t crlf_end =
      crlf == std::string_view::npos ? bytes.npos : crlf + 4;
  const size_t end = std::min(lf_end, crlf_end);
  return end == std::string_view::npos ? 0 : end;
}

}  // namespace

bool StreamEvent::is_comment() const {
  std::string_view event = this->bytes;
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return false;
    }
  }
  return true;
}

void EventReader::Read(
    std::string_view bytes,
    const std::function<void(const StreamEvent&)>& on_event) {
  this->partial.append(bytes);
  while (true) {
    const size_t end = FindEventEnd(this->partial, this->searched);
    if (end == 0) {
      this->searched = this->partial.size();
      return;
    }
    this->searched = 0;
    StreamEvent event{.bytes = this->partial.substr(0, end), .id = {}};
    this->partial.erase(0, end);
    event.id = FindId(event.bytes);
    on_event(event);
  }
}

}  // namespace bramleyspan::gateway
