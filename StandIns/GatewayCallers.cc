// Stand-in for callers of gateways that keep an address, and their connections,
// until nobody listens there. Each caller sends one request after the other. A
// line for each request goes to standard output:
//
//   ID KIND OUTCOME STATUS SENT-MS END-MS BEGUN-MS ADDRESS FAULT
//
// KIND is stream or plain. OUTCOME is whole; refused (a 503); failed (another
// whole answer); mixed (bytes that are not the whole answer to this request;
// FAULT says which, else it is -); cut (an answer that began and did not end);
// dropped (no answer though the last byte was sent over kLossSlack before the
// connection ended); crossed (no answer, sent later than that); or left (its
// caller went away). Times are milliseconds since the program began or since
// --clock_start: of the last byte that was sent, of the end, and of the first
// byte. With one address, a connection that is refused ends its caller; with
// --addresses it goes to the next one then, and after a 503.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "StandIns/GatewayAnswer.h"

ABSL_FLAG(std::string, ip, "127.0.1.1", "IP of the gateway");
ABSL_FLAG(int, port, 8080, "port of gateways for callers");
ABSL_FLAG(std::string,
          addresses,
          "",
          "IPs of gateways, separated by commas, in place of --ip; callers "
          "begin at different ones");
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
ABSL_FLAG(int,
          leave_milliseconds,
          0,
          "time after which a caller that has no whole answer closes its "
          "connection; 0 for never");
ABSL_FLAG(std::string,
          headers,
          "",
          "further headers of requests, separated by '|'");
ABSL_FLAG(std::string, body, "body", "body, or each part of it in chunks");
ABSL_FLAG(std::string,
          followed_by,
          "",
          "bytes that are sent kFollowTime after each request");
ABSL_FLAG(bool,
          check_content,
          true,
          "whether answers are those of the stand-in's servers");
ABSL_FLAG(bool, old_protocol, false, "speak HTTP/1.0");
ABSL_FLAG(int64_t,
          clock_start,
          0,
          "milliseconds since 1970 from which times count; 0 for the start");

namespace bramleyspan::standins {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A request that nobody answers is lost if its last byte was sent so long
// before the end of its connection.
constexpr milliseconds kLossSlack(200);
constexpr milliseconds kFollowTime(100);
constexpr int kSmallBuffer = 4096;
constexpr size_t kReadsPerSecond = 250;
constexpr int kUnavailable = 503;

const Clock::time_point kStart = Clock::now();
const auto kStartTime = std::chrono::system_clock::now();

// Returns how long after --clock_start the program began.
milliseconds StartAfterClock() {
  const int64_t clock_start = absl::GetFlag(FLAGS_clock_start);
  if (clock_start == 0) {
    return milliseconds(0);
  }
  return std::chrono::duration_cast<milliseconds>(
             kStartTime.time_since_epoch()) -
         milliseconds(clock_start);
}

long long MillisecondsAt(Clock::time_point time) {
  return (std::chrono::duration_cast<milliseconds>(time - kStart) +
          StartAfterClock())
      .count();
}

void PrintLine(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  std::cout << line << std::endl;
}

// Returns -1 if nobody listens.
int Connect(const std::string& ip) {
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
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
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

// Returns the chunk with these bytes.
std::string PartOf(const std::string& bytes) {
  std::ostringstream part;
  part << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return part.str();
}

bool SendRequest(int channel, const std::string& path, const std::string& id) {
  const bool is_old = absl::GetFlag(FLAGS_old_protocol);
  std::string head = "POST " + path + (is_old ? " HTTP/1.0" : " HTTP/1.1") +
                     "\r\nHost: app.test\r\nX-Attempt-Id: " + id +
                     "\r\nX-Api-Key: key-huber\r\nX-Token-Counts: "
                     "40,80\r\nX-Deadline-Ms: " +
                     std::to_string(absl::GetFlag(FLAGS_deadline_milliseconds));
  std::istringstream headers(absl::GetFlag(FLAGS_headers));
  for (std::string header; std::getline(headers, header, '|');) {
    head += "\r\n" + header;
  }
  const std::string body = absl::GetFlag(FLAGS_body);
  const milliseconds body_time(absl::GetFlag(FLAGS_body_milliseconds));
  if (body_time.count() == 0 || is_old) {
    return SendAll(channel,
                   head + "\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
  }
  constexpr int kPieces = 4;
  if (!SendAll(channel, head + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int i = 0; i < kPieces; ++i) {
    std::this_thread::sleep_for(body_time / kPieces);
    if (!SendAll(channel, PartOf(body))) {
      return false;
    }
  }
  return SendAll(channel, "0\r\n\r\n");
}

// Waits until there is something to read. Returns false once it is time to
// leave.
bool WaitForBytes(int channel, Clock::time_point leaves_at) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(leaves_at - Clock::now());
  pollfd entry{.fd = channel, .events = POLLIN, .revents = 0};
  return left.count() > 0 &&
         poll(&entry, 1, static_cast<int>(left.count())) == 1;
}

// Reads the answer until it is whole, the connection ends or its caller leaves.
// Returns whether the caller has left.
bool ReadAnswer(int channel, Answer& answer) {
  const int rate = absl::GetFlag(FLAGS_bytes_per_second);
  const milliseconds patience(absl::GetFlag(FLAGS_leave_milliseconds));
  const auto leaves_at =
      Clock::now() + (patience.count() == 0 ? std::chrono::hours(1) : patience);
  char buffer[4096];
  const size_t most =
      rate == 0
          ? sizeof buffer
          : std::clamp<size_t>(static_cast<size_t>(rate) / kReadsPerSecond, 1,
                               sizeof buffer);
  while (!is_whole(answer)) {
    if (!WaitForBytes(channel, leaves_at)) {
      return true;
    }
    const ssize_t received = recv(channel, buffer, most, 0);
    if (received <= 0) {
      answer.is_ended = received == 0;
      return false;
    }
    answer.input.append(buffer, static_cast<size_t>(received));
    if (rate != 0) {
      std::this_thread::sleep_for(
          std::chrono::microseconds(received * 1'000'000 / rate));
    }
  }
  return false;
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

// One request and what became of it.
struct Attempt {
  std::string id;
  bool is_stream = false;
  std::string ip;
  Clock::time_point begun_at;
  Clock::time_point sent_at;
  Clock::time_point ended_at;
  bool is_sent = false;
  bool has_left = false;
  Answer answer;
  std::string outcome;
  std::string fault;
};

// Whether bytes have come for which no request waits.
bool has_unasked_bytes(int channel) {
  char byte = 0;
  return recv(channel, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Judge(Attempt& attempt) {
  const auto waited = std::chrono::duration_cast<milliseconds>(
      attempt.ended_at - attempt.sent_at);
  Answer& answer = attempt.answer;
  const bool is_answer_whole = is_whole(answer);
  attempt.outcome = attempt.is_sent || answer.has_begun()
                        ? OutcomeOf(answer, waited)
                        : "crossed";
  if (attempt.has_left) {
    attempt.outcome = "left";
  }
  if (attempt.fault.empty() && absl::GetFlag(FLAGS_check_content)) {
    attempt.fault =
        FindFault(answer, attempt.id, attempt.is_stream, is_answer_whole);
  }
  if (!attempt.fault.empty()) {
    attempt.outcome = "mixed";
  }
}

void PrintAttempt(const Attempt& attempt) {
  std::ostringstream line;
  line << attempt.id << (attempt.is_stream ? " stream " : " plain ")
       << attempt.outcome << " " << attempt.answer.status << " "
       << MillisecondsAt(attempt.sent_at) << " "
       << MillisecondsAt(attempt.ended_at) << " "
       << MillisecondsAt(attempt.begun_at) << " " << attempt.ip << " "
       << (attempt.fault.empty() ? "-" : attempt.fault);
  PrintLine(line.str());
}

void Perform(int channel, Attempt& attempt) {
  attempt.begun_at = Clock::now();
  if (has_unasked_bytes(channel)) {
    attempt.fault = "unasked";
  }
  attempt.is_sent = SendRequest(
      channel,
      absl::GetFlag(attempt.is_stream ? FLAGS_stream_path : FLAGS_plain_path),
      attempt.id);
  attempt.sent_at = Clock::now();
  const std::string followed_by = absl::GetFlag(FLAGS_followed_by);
  if (!followed_by.empty()) {
    std::this_thread::sleep_for(kFollowTime);
    SendAll(channel, followed_by);
  }
  attempt.has_left = ReadAnswer(channel, attempt.answer);
  attempt.ended_at = Clock::now();
  Judge(attempt);
  PrintAttempt(attempt);
}

std::vector<std::string> Addresses() {
  std::vector<std::string> addresses;
  std::istringstream list(absl::GetFlag(FLAGS_addresses));
  for (std::string ip; std::getline(list, ip, ',');) {
    addresses.push_back(ip);
  }
  if (addresses.empty()) {
    addresses.push_back(absl::GetFlag(FLAGS_ip));
  }
  return addresses;
}

// A caller's address and connection.
struct Connection {
  std::vector<std::string> addresses = Addresses();
  size_t current = 0;
  int channel = -1;

  const std::string& ip() const {
    return this->addresses[this->current % this->addresses.size()];
  }
  void Close() {
    if (this->channel != -1) {
      close(std::exchange(this->channel, -1));
    }
  }
};

// Connects, to the next address if nobody listens at one. Returns false if
// there is none to turn to, or no time left.
bool ConnectSomewhere(Connection& connection, Clock::time_point ends) {
  constexpr milliseconds kPauseWhenRefused(50);
  while (connection.channel == -1 && Clock::now() < ends) {
    connection.channel = Connect(connection.ip());
    if (connection.channel != -1) {
      break;
    }
    if (connection.addresses.size() == 1) {
      return false;
    }
    ++connection.current;
    std::this_thread::sleep_for(kPauseWhenRefused);
  }
  return connection.channel != -1;
}

void RunCaller(int number) {
  const int plain_every = absl::GetFlag(FLAGS_plain_every);
  const bool is_plain = plain_every != 0 && number % plain_every == 0;
  const auto ends = kStart + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  Connection connection{.current = static_cast<size_t>(number)};
  for (int n = 0; Clock::now() < ends; ++n) {
    if (!ConnectSomewhere(connection, ends)) {
      return;
    }
    Attempt attempt{.id = absl::GetFlag(FLAGS_prefix) + "-" +
                          std::to_string(number) + "-" + std::to_string(n),
                    .is_stream = !is_plain,
                    .ip = connection.ip()};
    Perform(connection.channel, attempt);
    const bool is_kept = absl::GetFlag(FLAGS_keep_connections) &&
                         !attempt.has_left && is_whole(attempt.answer) &&
                         !attempt.answer.is_last && !attempt.answer.is_ended;
    const bool goes_elsewhere =
        attempt.outcome == "refused" && connection.addresses.size() > 1;
    if (!is_kept || goes_elsewhere) {
      connection.Close();
    }
    connection.current += goes_elsewhere ? 1 : 0;
    std::this_thread::sleep_for(
        milliseconds(absl::GetFlag(FLAGS_pause_milliseconds)));
  }
  connection.Close();
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
