// Stand-in for a server whose answers are broken: the last part of a request's
// path is the place at which the answer breaks off (see CutAnswers.h), or odd-
// and the name of an answer with an odd head (see OddHeads.h). Other requests
// get a whole answer. With --in_turn each request gets the next answer with an
// odd head, whatever its path, and those after the last one get a sound one.
// With --peer it also sends heartbeats of a gateway that knows more than
// others.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <regex>
#include <sstream>
#include <utility>

#include "Kernel/Datagrams.h"
#include "LibMembership/Members.h"
#include "StandIns/AnswerServer.h"
#include "StandIns/CutAnswers.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8000", "IP:PORT to listen on");
ABSL_FLAG(std::string,
          header_lines,
          "content-type: text/plain",
          "header lines of answers, separated by '|'");
ABSL_FLAG(std::string, body_file, "", "file with the body of odd answers");
ABSL_FLAG(std::string,
          forms,
          ".*",
          "regular expression for the names of odd heads that are used");
ABSL_FLAG(bool, in_turn, false, "send all of these, one a request");
ABSL_FLAG(bool, list, false, "print the names of these, and end");
ABSL_FLAG(std::string, peer, "", "IP:PORT of the gateway that gets heartbeats");

namespace bramleyspan::standins {

namespace {

constexpr std::string_view kOdd = "odd-";
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(100);
// A version of the desired state and revisions that no other gateway knows.
constexpr uint64_t kNewestVersion = 1'000'000;

std::string Body() {
  const std::string name = absl::GetFlag(FLAGS_body_file);
  if (name.empty()) {
    return "first second";
  }
  std::ifstream file(name, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string HeaderLines() {
  std::string lines;
  std::istringstream list(absl::GetFlag(FLAGS_header_lines));
  for (std::string line; std::getline(list, line, '|');) {
    lines += line + "\r\n";
  }
  return lines;
}

std::vector<RawAnswer> OddAnswers() {
  std::vector<RawAnswer> answers = OddHeadAnswers(HeaderLines(), Body());
  const std::regex forms(absl::GetFlag(FLAGS_forms));
  std::erase_if(answers, [&forms](const RawAnswer& answer) {
    return !std::regex_match(answer.name, forms);
  });
  return answers;
}

RawAnswer AnswerTo(const std::vector<RawAnswer>& odd,
                   const std::string& target) {
  const std::string header_lines = HeaderLines();
  const std::vector<std::string> parts{"first ", "second"};
  const std::string place = target.substr(target.rfind('/') + 1);
  if (place.starts_with(kOdd)) {
    const auto found = FindAnswer(odd, place.substr(kOdd.size()));
    return found ? *found : RawAnswer{};
  }
  const auto answer = CutAnswer(place, header_lines, parts);
  return {
      .name = place,
      .bytes = answer ? *answer : *CutAnswer("by-length", header_lines, parts)};
}

// Sends the heartbeats of a gateway at this address again and again.
struct Peer {
  EventLoop& loop;
  Address address;
  Address receiver;
  uint64_t counter = 0;
  std::unique_ptr<Datagrams> datagrams;

  Result<void> Start() {
    this->datagrams =
        TRY(Datagrams::Bind(this->loop, this->address,
                            [](const std::string&, std::string_view) {}));
    this->SendHeartbeat();
    return Succeed();
  }

  void SendHeartbeat() {
    auto member = std::make_unique<membership::wire::MemberT>();
    member->name = "peer";
    member->is_entry = true;
    member->zone = "a";
    member->ip = this->address.ip;
    member->incarnation = 1;
    member->counter = ++this->counter;
    member->changed = 1;
    member->is_ready = true;
    member->table_version = kNewestVersion;
    member->targets_revision = kNewestVersion;
    member->desired_revision = kNewestVersion;
    membership::wire::HeartbeatT heartbeat;
    heartbeat.members.push_back(std::move(member));
    this->datagrams->Send(this->receiver,
                          membership::Encode(std::move(heartbeat)));
    this->loop.RunAfter(kHeartbeatInterval, [this] { this->SendHeartbeat(); });
  }
};

Result<void> Serve() {
  const std::vector<RawAnswer> odd = OddAnswers();
  const RawAnswer sound = SoundHeadAnswers(HeaderLines(), Body()).front();
  EventLoop loop;
  const Address address = TRY(ParseAddress(absl::GetFlag(FLAGS_address)));
  size_t next = 0;
  const auto server = TRY(AnswerServer::Listen(
      loop, address, [&odd, &sound, &next](const std::string& target) {
        if (!absl::GetFlag(FLAGS_in_turn)) {
          return AnswerTo(odd, target);
        }
        RawAnswer answer = next < odd.size() ? odd[next] : sound;
        ++next;
        std::cout << answer.name << " " << target << std::endl;
        return answer;
      }));
  Peer peer{.loop = loop, .address = address};
  if (!absl::GetFlag(FLAGS_peer).empty()) {
    peer.receiver = TRY(ParseAddress(absl::GetFlag(FLAGS_peer)));
    TRY(peer.Start());
  }
  loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Run();
  return Succeed();
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  absl::ParseCommandLine(argument_count, arguments);
  if (absl::GetFlag(FLAGS_list)) {
    for (const auto& answer : bramleyspan::standins::OddAnswers()) {
      std::cout << answer.name << "\n";
    }
    return 0;
  }
  const auto served = bramleyspan::standins::Serve();
  if (served.has_error()) {
    std::cerr << Describe(served.error()) << "\n";
    return 1;
  }
  return 0;
}
