// Stand-in for callers of one gateway that keep its address, and their
// connections, until nobody listens there. Each caller sends one request after
// the other. A line for each request goes to standard output:
//
//   ID KIND OUTCOME STATUS SENT-MS END-MS
//
// KIND is stream or plain. OUTCOME is whole; refused (a 503); failed (another
// whole answer); cut (an answer that began and did not end); dropped (no answer
// though the last byte was sent over kLossSlack before the connection ended);
// or crossed (no answer, sent later than that). Times are milliseconds since
// the program began; a connection that is refused ends its caller.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, ip, "127.0.1.1", "IP of the gateway");
ABSL_FLAG(int, port, 8080, "its port for callers");
ABSL_FLAG(int, callers, 12, "callers, each with one request at a time");
ABSL_FLAG(int, plain_every, 3, "each n-th caller sends plain requests");
ABSL_FLAG(std::string, prefix, "c", "what the ids of requests begin with");
ABSL_FLAG(std::string, stream_path, "/draft/x", "path of streams");
ABSL_FLAG(std::string, plain_path, "/issue/x", "path of plain requests");
ABSL_FLAG(int, seconds, 20, "time after which no request is begun");
ABSL_FLAG(int, pause_milliseconds, 20, "pause between two requests");
ABSL_FLAG(bool, keep_connections, false, "use a connection again");
ABSL_FLAG(int,
          body_milliseconds,
          0,
          "time over which a body is sent in chunks; 0 sends it at once");
ABSL_FLAG(int, deadline_milliseconds, 5000, "time that a caller waits");
ABSL_FLAG(int,
          bytes_per_second,
          0,
          "rate at which answers are read, into a small buffer; 0 for at once");

namespace bramleyspan::standins {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A request that nobody answers is lost if its last byte was sent so long
// before the end of its connection.
constexpr milliseconds kLossSlack(200);
constexpr int kSmallBuffer = 4096;
constexpr size_t kReadsPerSecond = 250;
constexpr int kUnavailable = 503;

const Clock::time_point kStart = Clock::now();

long long MillisecondsAt(Clock::time_point time) {
  return std::chrono::duration_cast<milliseconds>(time - kStart).count();
}

void PrintLine(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  std::cout << line << std::endl;
}

// What a caller has read of an answer.
struct Answer {
  int status = 0;
  std::string input;
  size_t head_bytes = 0;
  bool is_chunked = false;
  bool is_last = false;
  size_t length = 0;

  bool has_begun() const { return !this->input.empty(); }
};

std::string LowerCaseOf(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

void ReadHeadOf(Answer& answer) {
  const size_t end = answer.input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  answer.head_bytes = end + 4;
  const std::string head = LowerCaseOf(answer.input.substr(0, end));
  std::from_chars(head.data() + 9, head.data() + 12, answer.status);
  answer.is_chunked =
      head.find("\r\ntransfer-encoding: chunked") != std::string::npos;
  answer.is_last = head.find("\r\nconnection: close") != std::string::npos;
  constexpr std::string_view kLength = "\r\ncontent-length: ";
  const size_t length = head.find(kLength);
  if (length != std::string::npos) {
    answer.length = std::stoul(head.substr(length + kLength.size()));
  }
}

// Whether the answer has come as a whole.
bool is_whole(Answer& answer) {
  if (answer.head_bytes == 0) {
    ReadHeadOf(answer);
  }
  if (answer.head_bytes == 0) {
    return false;
  }
  return answer.is_chunked
             ? answer.input.ends_with("\r\n0\r\n\r\n")
             : answer.input.size() >= answer.head_bytes + answer.length;
}

// Returns -1 if nobody listens.
int Connect() {
  const int channel = socket(AF_INET, SOCK_STREAM, 0);
  if (absl::GetFlag(FLAGS_bytes_per_second) != 0) {
    setsockopt(channel, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer,
               sizeof kSmallBuffer);
  }
  const int no_delay = 1;
  setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(absl::GetFlag(FLAGS_port)));
  inet_pton(AF_INET, absl::GetFlag(FLAGS_ip).c_str(), &address.sin_addr);
  if (connect(channel, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(channel);
    return -1;
  }
  return channel;
}

bool SendAll(int channel, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(channel, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool SendRequest(int channel, const std::string& path, const std::string& id) {
  std::string head =
      "POST " + path + " HTTP/1.1\r\nHost: app.test\r\nX-Attempt-Id: " + id +
      "\r\nX-Api-Key: key-huber\r\nX-Token-Counts: 40,80\r\nX-Deadline-Ms: " +
      std::to_string(absl::GetFlag(FLAGS_deadline_milliseconds));
  const milliseconds body_time(absl::GetFlag(FLAGS_body_milliseconds));
  if (body_time.count() == 0) {
    return SendAll(channel, head + "\r\nContent-Length: 4\r\n\r\nbody");
  }
  constexpr int kPieces = 4;
  if (!SendAll(channel, head + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int i = 0; i < kPieces; ++i) {
    std::this_thread::sleep_for(body_time / kPieces);
    if (!SendAll(channel, "4\r\nbody\r\n")) {
      return false;
    }
  }
  return SendAll(channel, "0\r\n\r\n");
}

// Reads the answer until it is whole or the connection ends.
void ReadAnswer(int channel, Answer& answer) {
  const int rate = absl::GetFlag(FLAGS_bytes_per_second);
  char buffer[4096];
  const size_t most =
      rate == 0
          ? sizeof buffer
          : std::clamp<size_t>(static_cast<size_t>(rate) / kReadsPerSecond, 1,
                               sizeof buffer);
  while (!is_whole(answer)) {
    const ssize_t received = recv(channel, buffer, most, 0);
    if (received <= 0) {
      return;
    }
    answer.input.append(buffer, static_cast<size_t>(received));
    if (rate != 0) {
      std::this_thread::sleep_for(
          std::chrono::microseconds(received * 1'000'000 / rate));
    }
  }
}

std::string OutcomeOf(Answer& answer, milliseconds waited) {
  if (is_whole(answer)) {
    return answer.status == 200            ? "whole"
           : answer.status == kUnavailable ? "refused"
                                           : "failed";
  }
  if (answer.has_begun()) {
    return "cut";
  }
  return waited > kLossSlack ? "dropped" : "crossed";
}

void RunCaller(int number) {
  const int plain_every = absl::GetFlag(FLAGS_plain_every);
  const bool is_plain = plain_every != 0 && number % plain_every == 0;
  const std::string path = is_plain ? absl::GetFlag(FLAGS_plain_path)
                                    : absl::GetFlag(FLAGS_stream_path);
  const auto ends = kStart + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  int channel = -1;
  for (int n = 0; Clock::now() < ends; ++n) {
    channel = channel == -1 ? Connect() : channel;
    if (channel == -1) {
      return;
    }
    const std::string id = absl::GetFlag(FLAGS_prefix) + "-" +
                           std::to_string(number) + "-" + std::to_string(n);
    const bool is_sent = SendRequest(channel, path, id);
    const auto sent_at = Clock::now();
    Answer answer;
    ReadAnswer(channel, answer);
    const auto ended_at = Clock::now();
    const auto waited =
        std::chrono::duration_cast<milliseconds>(ended_at - sent_at);
    const std::string outcome =
        is_sent || answer.has_begun() ? OutcomeOf(answer, waited) : "crossed";
    std::ostringstream line;
    line << id << (is_plain ? " plain " : " stream ") << outcome << " "
         << answer.status << " " << MillisecondsAt(sent_at) << " "
         << MillisecondsAt(ended_at);
    PrintLine(line.str());
    const bool is_kept = absl::GetFlag(FLAGS_keep_connections) &&
                         is_whole(answer) && !answer.is_last;
    if (!is_kept) {
      close(channel);
      channel = -1;
    }
    std::this_thread::sleep_for(
        milliseconds(absl::GetFlag(FLAGS_pause_milliseconds)));
  }
  if (channel != -1) {
    close(channel);
  }
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  absl::ParseCommandLine(argument_count, arguments);
  std::vector<std::thread> callers;
  callers.reserve(static_cast<size_t>(absl::GetFlag(FLAGS_callers)));
  for (int i = 0; i < absl::GetFlag(FLAGS_callers); ++i) {
    callers.emplace_back(bramleyspan::standins::RunCaller, i);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return 0;
}
