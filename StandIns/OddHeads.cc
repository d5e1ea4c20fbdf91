#include "StandIns/OddHeads.h"

#include <algorithm>
#include <initializer_list>
#include <sstream>
#include <utility>

namespace bramleyspan::standins {

namespace {

using std::string_literals::operator""s;

// An odd line, without its end, and where the odd byte stands in it.
struct OddLine {
  std::string name;
  std::string line;
  size_t odd_at = 0;
};

struct Framing {
  std::string name;
  std::string header_line;
  std::string body;
};

std::string JoinName(std::initializer_list<std::string_view> parts) {
  std::string name;
  for (const std::string_view part : parts) {
    name.append(name.empty() ? "" : ".").append(part);
  }
  return name;
}

std::vector<std::string> SplitLines(const std::string& header_lines) {
  std::vector<std::string> lines;
  size_t begin = 0;
  while (begin < header_lines.size()) {
    const size_t end = header_lines.find("\r\n", begin);
    lines.push_back(header_lines.substr(begin, end - begin));
    begin = end + 2;
  }
  return lines;
}

std::string ChunksOf(const std::string& body) {
  std::ostringstream chunks;
  chunks << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
  return chunks.str();
}

// Returns the ways in which a body may end in a version: HTTP/1.0 has no
// chunks.
std::vector<Framing> FramingsOf(const std::string& version,
                                const std::string& body) {
  std::vector<Framing> framings{
      {.name = "length",
       .header_line = "content-length: " + std::to_string(body.size()),
       .body = body},
      {.name = "close", .header_line = "", .body = body}};
  if (version == "11") {
    framings.push_back({.name = "chunks",
                        .header_line = "transfer-encoding: chunked",
                        .body = ChunksOf(body)});
  }
  return framings;
}

OddLine LineWith(std::string name, const std::string& odd) {
  return {.name = std::move(name), .line = "x-o" + odd + "dd: 1", .odd_at = 3};
}

OddLine ValueWith(std::string name, const std::string& odd) {
  return {.name = std::move(name), .line = "x-odd: a" + odd + "b", .odd_at = 8};
}

std::vector<OddLine> OddLines() {
  return {
      LineWith("blank-inside", " "),
      LineWith("tab-inside", "\t"),
      LineWith("control-inside", "\x01"),
      LineWith("null-inside", "\0"s),
      LineWith("return-inside", "\r"),
      LineWith("vertical-tab-inside", "\v"),
      LineWith("escape-inside", "\x1b"),
      LineWith("delete-inside", "\x7f"),
      LineWith("high-byte-inside", "\xe9"),
      LineWith("parenthesis-inside", "("),
      LineWith("at-inside", "@"),
      LineWith("quote-inside", "\""),
      {.name = "blank-before-colon", .line = "x-odd : 1", .odd_at = 5},
      {.name = "tab-before-colon", .line = "x-odd\t: 1", .odd_at = 5},
      {.name = "null-before-colon", .line = "x-odd\0: 1"s, .odd_at = 5},
      {.name = "blank-at-start", .line = " x-odd: 1", .odd_at = 0},
      {.name = "tab-at-start", .line = "\tx-odd: 1", .odd_at = 0},
      {.name = "null-at-start", .line = "\0x-odd: 1"s, .odd_at = 0},
      {.name = "empty-name", .line = ": 1", .odd_at = 0},
      {.name = "blank-as-name", .line = " : 1", .odd_at = 0},
      {.name = "no-colon", .line = "x-odd", .odd_at = 5},
      {.name = "null-alone", .line = "\0"s, .odd_at = 0},
      {.name = "behind-bare-line-feed",
       .line = "x-a: 1\nx odd: 1",
       .odd_at = 8},
      {.name = "before-bare-line-feed",
       .line = "x odd: 1\nx-a: 1",
       .odd_at = 1},
      ValueWith("control-in-value", "\x01"),
      ValueWith("null-in-value", "\0"s),
      ValueWith("return-in-value", "\r"),
      ValueWith("vertical-tab-in-value", "\v"),
      ValueWith("delete-in-value", "\x7f"),
  };
}

// What an answer is made of, line by line.
struct Answer {
  std::string status_line;
  std::vector<std::string> lines;
  // The line with the odd byte and its place; none if there is no such line.
  size_t odd_line = 0;
  size_t odd_at = 0;
  std::string body;
};

std::string StatusLine(const std::string& version) {
  return "HTTP/1." + version.substr(1) + " 200 OK";
}

// Adds the answer in one write, and in two with the border before the odd byte
// and behind it.
void Add(std::vector<RawAnswer>& answers,
         const std::string& name,
         const Answer& answer) {
  std::string bytes = answer.status_line + "\r\n";
  size_t odd_at = 0;
  for (size_t i = 0; i < answer.lines.size(); ++i) {
    if (i == answer.odd_line) {
      odd_at = bytes.size() + answer.odd_at;
    }
    bytes += answer.lines[i] + "\r\n";
  }
  bytes += "\r\n" + answer.body;
  answers.push_back({.name = name + ".together", .bytes = bytes});
  answers.push_back(
      {.name = name + ".apart", .bytes = bytes, .border = odd_at});
  answers.push_back(
      {.name = name + ".behind", .bytes = bytes, .border = odd_at + 1});
}

// Adds the forms of an answer with an odd line.
void AddForms(std::vector<RawAnswer>& answers,
              const std::vector<std::string>& header_lines,
              const std::string& body,
              const OddLine& odd) {
  for (const std::string version : {"10", "11"}) {
    for (const Framing& framing : FramingsOf(version, body)) {
      std::vector<std::string> lines = header_lines;
      if (!framing.header_line.empty()) {
        lines.push_back(framing.header_line);
      }
      const std::pair<std::string, size_t> places[] = {
          {"first", 0}, {"middle", lines.size() / 2}, {"last", lines.size()}};
      for (const auto& [place, at] : places) {
        Answer answer{.status_line = StatusLine(version),
                      .lines = lines,
                      .odd_line = at,
                      .odd_at = odd.odd_at,
                      .body = framing.body};
        answer.lines.insert(answer.lines.begin() + static_cast<ptrdiff_t>(at),
                            odd.line);
        Add(answers, JoinName({odd.name, place, version, framing.name}),
            answer);
      }
    }
  }
}

// Adds answers in which a line that a receiver needs has a blank or a tab
// before its colon, one line at a time.
void AddBlankBeforeColon(std::vector<RawAnswer>& answers,
                         const std::vector<std::string>& header_lines,
                         const std::string& body) {
  for (const std::string version : {"10", "11"}) {
    for (const Framing& framing : FramingsOf(version, body)) {
      std::vector<std::string> lines = header_lines;
      lines.emplace_back("connection: close");
      if (!framing.header_line.empty()) {
        lines.push_back(framing.header_line);
      }
      for (size_t i = 0; i < lines.size(); ++i) {
        const size_t colon = lines[i].find(':');
        for (const auto& [blank, name] :
             {std::pair{' ', "blank"}, std::pair{'\t', "tab"}}) {
          Answer answer{.status_line = StatusLine(version),
                        .lines = lines,
                        .odd_line = i,
                        .odd_at = colon,
                        .body = framing.body};
          answer.lines[i].insert(colon, 1, blank);
          const std::string shape = std::string(name) + "-before-colon-of-" +
                                    lines[i].substr(0, colon);
          Add(answers, JoinName({shape, version, framing.name}), answer);
        }
      }
    }
  }
}

// Adds answers with an odd byte elsewhere than in a line of the final head.
void AddElsewhere(std::vector<RawAnswer>& answers,
                  const std::string& header_lines,
                  const std::string& body) {
  const std::string sound = "HTTP/1.1 200 OK\r\n" + header_lines +
                            "content-length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body;
  for (const OddLine& odd : OddLines()) {
    answers.push_back({.name = "interim-with-" + odd.name,
                       .bytes = "HTTP/1.1 103 Early Hints\r\n" + odd.line +
                                "\r\n\r\n" + sound});
  }
  const std::pair<std::string, std::string> reasons[] = {
      {"control", "O\x01K"}, {"null", "O\0K"s},        {"return", "O\rK"},
      {"delete", "O\x7fK"},  {"vertical-tab", "O\vK"},
  };
  for (const auto& [name, reason] : reasons) {
    answers.push_back(
        {.name = name + "-in-reason",
         .bytes = "HTTP/1.1 200 " + reason +
                  sound.substr(std::string_view("HTTP/1.1 200 OK").size())});
  }
  for (const auto& [name, before] :
       {std::pair{"null", "\0"s}, std::pair{"blank", " "s},
        std::pair{"control", "\x01"s}}) {
    answers.push_back({.name = std::string(name) + "-before-status",
                       .bytes = before + sound});
  }
  // Where a receiver might take the head for ended.
  const size_t end = sound.find("\r\n\r\n") + 2;
  for (const auto& [name, line] :
       {std::pair{"null", "\0"s}, std::pair{"blank", " "s},
        std::pair{"return", "\r"s}, std::pair{"control", "\x01"s}}) {
    std::string bytes = sound;
    bytes.insert(end, line);
    answers.push_back(
        {.name = std::string(name) + "-before-last-line", .bytes = bytes});
  }
}

}  // namespace

std::vector<RawAnswer> OddHeadAnswers(const std::string& header_lines,
                                      const std::string& body) {
  std::vector<RawAnswer> answers;
  const std::vector<std::string> lines = SplitLines(header_lines);
  for (const OddLine& odd : OddLines()) {
    AddForms(answers, lines, body, odd);
  }
  AddBlankBeforeColon(answers, lines, body);
  AddElsewhere(answers, header_lines, body);
  return answers;
}

std::vector<RawAnswer> SoundHeadAnswers(const std::string& header_lines,
                                        const std::string& body) {
  std::vector<RawAnswer> answers;
  AddForms(answers, SplitLines(header_lines), body,
           {.name = "sound", .line = "x-odd: 1", .odd_at = 3});
  const std::string head = "HTTP/1.1 200 OK\r\n" + header_lines +
                           "transfer-encoding: chunked\r\n\r\n";
  const std::string chunks = ChunksOf(body);
  const size_t size_end = chunks.find("\r\n");
  for (const auto& [name, extension] :
       {std::pair{"control", ";a\x01"s}, std::pair{"null", ";a\0"s},
        std::pair{"delete", ";a\x7f"s}}) {
    std::string odd_chunks = chunks;
    odd_chunks.insert(size_end, extension);
    answers.push_back({.name = std::string(name) + "-in-chunk-extension",
                       .bytes = head + odd_chunks});
  }
  for (const OddLine& odd : OddLines()) {
    std::string odd_chunks = chunks;
    odd_chunks.insert(odd_chunks.size() - 2, odd.line + "\r\n");
    answers.push_back(
        {.name = "trailer-with-" + odd.name, .bytes = head + odd_chunks});
  }
  return answers;
}

std::optional<RawAnswer> FindAnswer(const std::vector<RawAnswer>& answers,
                                    std::string_view name) {
  const auto found = std::ranges::find(answers, name, &RawAnswer::name);
  return found == answers.end() ? std::nullopt : std::optional(*found);
}

}  // namespace bramleyspan::standins
