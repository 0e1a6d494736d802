// A small world for the cases of the second review: a store of keyed records,
// replicas and clients as threads of one process, and the project's own daemon
// as processes beside it. Everything listens at loopback addresses. The
// stand-ins follow the users' pages; a case says what its replicas and clients
// do.

#ifndef REVIEW_STANDINS_2_HARNESS_H_
#define REVIEW_STANDINS_2_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline Clock::time_point& Start() {
  static Clock::time_point start = Clock::now();
  return start;
}
inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}
inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// Lines of record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void Line(const char* format, ...) {
    char text[2000];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    std::lock_guard<std::mutex> lock(mutex_);
    char stamp[32];
    snprintf(stamp, sizeof(stamp), "%8.3f  ", Seconds());
    out_ << stamp << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

// Ends with the boxes, which end with this process (Box::Spawn).
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::cerr << "the case could not run: " << why << std::endl;
  RECORD("the case could not run: %s", why.c_str());
  std::_Exit(kCannotRun);
}

// ---------------------------------------------------------------- sockets

inline int Listen(uint16_t* port, int receive_buffer = 0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// A port that nothing listens at, below those that the kernel draws for
// outgoing connections.
inline uint16_t FreePort() {
  static std::mutex mutex;
  static std::mt19937 draw(std::random_device{}());
  static std::set<uint16_t> given;
  std::lock_guard<std::mutex> lock(mutex);
  for (int i = 0; i < 1000; ++i) {
    auto port = static_cast<uint16_t>(12000 + draw() % 19000);
    if (given.count(port) > 0) continue;
    int fd = Listen(&port);
    if (fd < 0) continue;
    close(fd);
    given.insert(port);
    return port;
  }
  CannotRun("no free port");
}

inline int Connect(uint16_t port, int receive_buffer = 0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    ssize_t size = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (size <= 0) return false;
    at += static_cast<size_t>(size);
  }
  return true;
}

inline void Reset(int fd) {
  linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(fd);
}

// Whether the other side has closed or reset the connection.
inline bool IsGone(int fd) {
  char byte;
  ssize_t size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                       errno != EINTR);
}

// ---------------------------------------------------------------- HTTP

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  static std::string Lower(std::string text) {
    for (char& c : text)
      c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
    return text;
  }
  std::string Field(const std::string& name) const {
    for (const auto& field : fields)
      if (Lower(field.first) == Lower(name)) return field.second;
    return "";
  }
  int status() const {
    return first_line.size() > 12 ? atoi(first_line.c_str() + 9) : 0;
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    size_t from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
};

// Reads messages of one connection.
class Reader {
 public:
  enum Result { kMessage, kClosed, kReset, kTimeout, kMalformed };
  explicit Reader(int fd) : fd_(fd) {}

  // Between two reads of up to 8 KB; 0: it reads what there is.
  int pace_ms = 0;
  // Called with each piece of a body as it arrives.
  std::function<void(const std::string&)> on_piece;

  // Of an answer that ends early, `message` holds what has come.
  Result Read(Message* message, Clock::time_point until, bool is_answer) {
    *message = Message();
    size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      Result result = More(until);
      if (result != kMessage) return result;
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, message->first_line);
    if (!message->first_line.empty() && message->first_line.back() == '\r')
      message->first_line.pop_back();
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      size_t colon = line.find(':');
      if (colon == std::string::npos) return kMalformed;
      size_t value = line.find_first_not_of(' ', colon + 1);
      message->fields.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    if (Message::Lower(message->Field("transfer-encoding")) == "chunked")
      return ReadChunks(message, until);
    std::string length = message->Field("content-length");
    int status = is_answer ? message->status() : 0;
    bool no_body =
        is_answer && (status < 200 || status == 204 || status == 304);
    if (no_body || (length.empty() && !is_answer)) return kMessage;
    if (length.empty()) {
      for (;;) {
        Take(message, buffer_.size());
        Result result = More(until);
        if (result == kClosed) return kMessage;
        if (result != kMessage) return result;
      }
    }
    size_t wanted = std::strtoull(length.c_str(), nullptr, 10);
    for (;;) {
      Take(message, std::min(buffer_.size(), wanted - message->body.size()));
      if (message->body.size() == wanted) return kMessage;
      Result result = More(until);
      if (result != kMessage) return result;
    }
  }

 private:
  void Take(Message* message, size_t size) {
    if (size == 0) return;
    std::string piece = buffer_.substr(0, size);
    buffer_.erase(0, size);
    message->body += piece;
    if (on_piece) on_piece(piece);
  }

  Result ReadChunks(Message* message, Clock::time_point until) {
    for (;;) {
      size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        Result result = More(until);
        if (result != kMessage) return result;
      }
      size_t size = std::strtoull(buffer_.substr(0, end).c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        Result result = More(until);
        if (result != kMessage) return result;
      }
      buffer_.erase(0, end + 2);
      Take(message, size);
      buffer_.erase(0, 2);
      if (size == 0) return kMessage;
    }
  }

  Result More(Clock::time_point until) {
    auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    if (left <= 0) return kTimeout;
    pollfd ready{fd_, POLLIN, 0};
    int count = poll(&ready, 1, static_cast<int>(left) + 1);
    if (count == 0) return kTimeout;
    if (count < 0) return errno == EINTR ? kMessage : kReset;
    if (pace_ms > 0) SleepMs(pace_ms);
    char bytes[65536];
    size_t most = pace_ms > 0 ? 8192 : sizeof(bytes);
    ssize_t size = recv(fd_, bytes, most, 0);
    if (size == 0) return kClosed;
    if (size < 0) return errno == EINTR ? kMessage : kReset;
    buffer_.append(bytes, static_cast<size_t>(size));
    return kMessage;
  }

  const int fd_;
  std::string buffer_;
};

inline const char* NameOf(Reader::Result result) {
  static const char* const names[] = {"whole", "closed", "reset",
                                      "nothing in time", "malformed"};
  return names[result];
}

inline Clock::time_point In(int64_t ms) {
  return Clock::now() + milliseconds(ms);
}

// A server whose connections each have a thread.
class Server {
 public:
  using Handler = std::function<void(int fd)>;
  uint16_t port() const { return port_; }
  // Of its connections; 0: as the kernel sets it.
  int receive_buffer = 0;
  // Takes no connections from now on.
  void Stop() {
    int fd = fd_.exchange(-1);
    shutdown(fd, SHUT_RDWR);
    close(fd);
  }
  void Begin(Handler handler) {
    handler_ = std::move(handler);
    fd_ = Listen(&port_, receive_buffer);
    if (fd_ < 0) CannotRun("no free port");
    std::thread([this, listener = fd_.load()] {
      for (;;) {
        int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, connection] { handler_(connection); }).detach();
      }
    }).detach();
  }

 private:
  uint16_t port_ = 0;
  std::atomic<int> fd_{-1};
  Handler handler_;
};

// ---------------------------------------------------------------- the
// platform's store

class Store {
 public:
  void Begin() {
    server_.Begin([this](int fd) { Serve(fd); });
  }
  uint16_t port() const { return server_.port(); }

  // Answers nothing and closes its connections until it comes back.
  void GoAway() {
    std::lock_guard<std::mutex> lock(mutex_);
    RECORD("the store is away");
    is_away_ = true;
    changed_.notify_all();
  }
  // Comes back from a copy: what was written later than `copied` is gone.
  void ComeBack(double copied) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++era_;
    for (auto& entry : topics_) {
      Topic& topic = entry.second;
      while (!topic.records.empty() && topic.records.back().written > copied)
        topic.records.pop_back();
      topic.newest.clear();
      for (const Entry& record : topic.records) {
        topic.newest.erase(record.key);
        if (record.value) topic.newest[record.key] = record;
      }
    }
    is_away_ = false;
    RECORD("the store is back from a copy of %.3f s, era %d", copied,
           era_.load());
  }

  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    Add(topic, key, value);
  }
  void Drop(const std::string& topic, const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    Add(topic, key, std::nullopt);
  }

 private:
  struct Entry {
    std::string key;
    std::optional<std::string> value;
    double written = 0;
  };
  struct Topic {
    std::vector<Entry> records;
    std::map<std::string, Entry> newest;
  };

  void Add(const std::string& name, const std::string& key,
           const std::optional<std::string>& value) {
    Topic& topic = topics_[name];
    topic.records.push_back({key, value, Seconds()});
    if (value) {
      topic.newest[key] = topic.records.back();
    } else {
      topic.newest.erase(key);
    }
    changed_.notify_all();
  }

  static std::string Number(uint64_t number, int bytes) {
    std::string raw;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
      raw += static_cast<char>(number >> shift & 0xff);
    return raw;
  }
  static std::string Base64(const std::string& text) {
    static const char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (size_t at = 0; at < text.size(); at += 3) {
      uint32_t bits = 0;
      for (size_t i = 0; i < 3; ++i)
        bits = bits << 8 |
               (at + i < text.size() ? static_cast<unsigned char>(text[at + i])
                                     : 0U);
      for (size_t i = 0; i < 4; ++i)
        encoded +=
            at + i > text.size() ? '=' : kDigits[bits >> (18 - 6 * i) & 63];
    }
    return encoded;
  }
  static std::string Escaped(const std::string& text) {
    std::string escaped;
    for (char c : text) {
      if (c == '"' || c == '\\') escaped += '\\';
      escaped += c;
    }
    return escaped;
  }
  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    size_t at = target.find("?" + name + "=");
    if (at == std::string::npos) at = target.find("&" + name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, In(600000), false) == Reader::kMessage) {
      SleepMs(4);
      std::string body;
      int status = Answer(request, &body);
      if (status == 0) break;
      std::string text = "HTTP/1.1 " + std::to_string(status) +
                         " -\r\nStore-Era: " + std::to_string(era_) +
                         "\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body;
      if (!WriteAll(fd, text)) break;
    }
    close(fd);
  }

  int Answer(const Message& request, std::string* body) {
    std::string target = request.target();
    std::string name = Parameter(target, "topic");
    std::unique_lock<std::mutex> lock(mutex_);
    if (is_away_) return 0;
    Topic& topic = topics_[name];
    if (target.rfind("/log-append", 0) == 0) {
      if (name == "keyed.servers") return 403;
      std::string at = Parameter(target, "at");
      *body = "{\"end\":" + std::to_string(topic.records.size()) + "}";
      if (!at.empty() && std::stoull(at) != topic.records.size()) return 412;
      size_t from = topic.records.size();
      const std::string& raw = request.body;
      for (size_t byte = 0; byte + 4 <= raw.size();) {
        size_t size = 0;
        for (int i = 0; i < 4; ++i)
          size = size << 8 |
                 static_cast<unsigned char>(raw[byte + static_cast<size_t>(i)]);
        byte += 4;
        std::string record = raw.substr(byte, size);
        byte += size;
        size_t key = static_cast<unsigned char>(record[0]);
        std::optional<std::string> value;
        if (record.size() > 1 + key) value = record.substr(1 + key);
        Add(name, record.substr(1, key), value);
      }
      *body = "{\"offset\":" + std::to_string(from) +
              ",\"end\":" + std::to_string(topic.records.size()) + "}";
      return 200;
    }
    if (target.rfind("/log-read", 0) == 0) {
      size_t from = std::stoull(Parameter(target, "source"));
      std::string wait = Parameter(target, "wait_ms");
      auto until = In(wait.empty() ? 0 : std::stoll(wait));
      changed_.wait_until(
          lock, until, [&] { return is_away_ || topic.records.size() > from; });
      if (is_away_) return 0;
      if (from > topic.records.size()) {
        *body = "{\"first\":0}";
        return 410;
      }
      *body = Number(topic.records.size(), 8) + Number(0, 8);
      for (size_t i = from; i < topic.records.size(); ++i) {
        const Entry& entry = topic.records[i];
        std::string record =
            std::string(1, static_cast<char>(entry.key.size())) + entry.key +
            entry.value.value_or("");
        *body += Number(record.size(), 4) + record;
      }
      return 200;
    }
    if (target.rfind("/log-newest", 0) == 0) {
      *body = "{\"items\":[";
      for (const auto& item : topic.newest) {
        if (body->back() != '[') *body += ",";
        *body += "{\"key\":\"" + Escaped(item.first) + "\",\"value\":\"" +
                 Base64(*item.second.value) + "\",\"offset\":0}";
      }
      *body +=
          "],\"more\":false,\"end\":" + std::to_string(topic.records.size()) +
          "}";
      return 200;
    }
    return 404;
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  bool is_away_ = false;
  std::atomic<int> era_{1};
};

// ---------------------------------------------------------------- replicas

// A replica. It takes requests, checks for whom they are, and hands them to the
// case's handler. It keeps its entry in the store and renews it each 1.2 s.
class Replica {
 public:
  // Answers one request; false: the connection is closed behind it.
  using Handler = std::function<bool(Replica*, int fd, const Message&)>;

  Replica(Store* store, std::string id, std::string service, std::string zone)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)) {}

  void Begin(Handler handler) {
    handler_ = std::move(handler);
    server_.Begin([this](int fd) { Serve(fd); });
    Renew();
    std::thread([this] {
      for (;;) {
        SleepMs(1200);
        Renew();
      }
    }).detach();
  }

  const std::string& id() const { return id_; }
  uint16_t port() const { return server_.port(); }
  int slots = 6;

  // From now on it is slow for so long, and its entry says so.
  void TurnCold(int64_t ms) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      cold_until_ = In(ms);
    }
    Renew();
  }
  bool is_cold() {
    std::lock_guard<std::mutex> lock(mutex_);
    return Clock::now() < cold_until_;
  }
  // Its process ends: its connections are reset, and its entry goes after three
  // heartbeats.
  void Crash() {
    if (stopped_.exchange(true)) return;
    RECORD("replica %s crashes", id_.c_str());
    server_.Stop();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      for (int fd : open_) connect(fd, &none, sizeof(none));  // sends a reset
    }
    std::thread([this] {
      SleepMs(3600);
      store_->Drop("keyed.servers", id_);
    }).detach();
  }
  bool has_crashed() const { return stopped_; }

  void Renew() {
    std::string entry;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) return;
      auto left =
          std::chrono::duration_cast<milliseconds>(cold_until_ - Clock::now())
              .count();
      entry = "{\"service\":\"" + service_ +
              "\",\"address\":\"127.0.0.1:" + std::to_string(port()) +
              "\",\"zone\":\"" + zone_ +
              "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
              ",\"state\":\"ready\",\"cold_remaining_ms\":" +
              std::to_string(std::max<int64_t>(0, left)) +
              ",\"seq\":" + std::to_string(++seq_) + "}";
    }
    store_->Put("keyed.servers", id_, entry);
  }

  std::string Head(const std::string& status, const Message& request,
                   const std::string& more) const {
    return "HTTP/1.1 " + status + "\r\nLeverwick-Request-Id: " +
           request.Field("Leverwick-Request-Id") +
           "\r\nLeverwick-Replica-Stamp: " + id_ + "\r\n" + more + "\r\n";
  }

 private:
  void Serve(int fd) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
    }
    ServeAll(fd);
    std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  void ServeAll(int fd) {
    Reader reader(fd);
    Message request;
    while (!stopped_ &&
           reader.Read(&request, In(60000), false) == Reader::kMessage) {
      if (request.Field("Leverwick-Expect-Replica") != id_) {
        WriteAll(fd, "HTTP/1.1 421 -\r\nLeverwick-Request-Id: " +
                         request.Field("Leverwick-Request-Id") +
                         "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!handler_(this, fd, request)) return;
    }
  }

  Store* const store_;
  const std::string id_;
  const std::string service_;
  const std::string zone_;
  Server server_;
  Handler handler_;
  std::mutex mutex_;
  Clock::time_point cold_until_{};
  int seq_ = 0;
  std::set<int> open_;
  std::atomic<bool> stopped_{false};
};

// ---------------------------------------------------------------- the daemon

inline std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

inline void ReplaceAll(std::string* text, const std::string& from,
                       const std::string& to) {
  for (size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size()))
    text->replace(at, from.size(), to);
}

// Removes the section with its contents.
inline void RemoveSection(std::string* text, const std::string& name) {
  size_t from = text->find("{{#" + name + "}}");
  std::string end = "{{/" + name + "}}";
  size_t to = text->find(end);
  if (from != std::string::npos && to != std::string::npos)
    text->erase(from, to + end.size() - from);
}

// One box of a small deployment: the program and the template of the deploy
// file, with the bounds of the small deployments' sheets.
class Box {
 public:
  Box(const std::string& repository, const std::string& folder,
      std::string name, std::string zone, uint16_t store)
      : repository_(repository),
        folder_(folder),
        name_(std::move(name)),
        zone_(std::move(zone)),
        store_(store) {}

  std::map<std::string, std::string> bounds = {{"revoke_ms", "5000"},
                                               {"strict_revoke", "true"},
                                               {"config_apply_ms", "2000"},
                                               {"retry_budget_ratio", "0.9"},
                                               {"session_s", "5"},
                                               {"expose_share", "0.15"},
                                               {"grace_s", "8"}};
  // Those of the sheets of granite-hollow-grown and inzira-log-grown.
  void UseGrownBounds() {
    bounds["config_apply_ms"] = "3000";
    bounds["session_s"] = "8.5";
    bounds["expose_share"] = "0.0975";
  }

  void Begin() {
    callers_ = FreePort();
    ready_ = FreePort();
    metrics_ = FreePort();
    peers_ = FreePort();
    WriteSettings(true);
    Spawn();
  }

  void Restart() {
    WriteSettings(false);
    Spawn();
  }

  // Whether it calls itself ready.
  bool IsReady() {
    int fd = Connect(ready_);
    if (fd < 0) return false;
    WriteAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    Reader reader(fd);
    Message answer;
    bool ready = reader.Read(&answer, In(1000), true) == Reader::kMessage &&
                 answer.status() == 200;
    close(fd);
    return ready;
  }
  void AwaitReady() {
    for (int i = 0; i < 300; ++i) {
      if (IsReady()) return;
      SleepMs(50);
    }
    CannotRun(name_ + " does not become ready");
  }

  void Signal(int signal) {
    RECORD("signal %d to %s", signal, name_.c_str());
    kill(pid_, signal);
  }
  bool HasEnded() {
    return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_;
  }
  uint16_t callers() const { return callers_; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }

  void End() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

 private:
  void WriteSettings(bool first) {
    std::string text = ReadFile(repository_ + "/deploy/box.yaml.template");
    if (text.empty()) CannotRun("no template of the settings");
    size_t from = text.find("{{#zones}}");
    std::string end = "{{/zones}}";
    if (from != std::string::npos) {
      size_t to = text.find(end) + end.size();
      text.replace(from, to - from,
                   "\"hall-a=punjab-north\",\"hall-b=punjab-north\",\"hall-c="
                   "punjab-north\"");
    }
    RemoveSection(&text, "cloud.address");
    std::string host = "127.0.0.1";
    std::map<std::string, std::string> values = {
        {"node", name_},
        {"zone", zone_},
        {"ip", host},
        {"bootstrap", first ? "true" : "false"},
        {"limits.cpu_share", "0.25"},
        {"limits.link_mbps", "1000.0"},
        {"listen.front", host + ":" + std::to_string(callers_)},
        {"listen.ready", host + ":" + std::to_string(ready_)},
        {"port_range.0", std::to_string(metrics_)},
        {"port_range.1", std::to_string(peers_)},
        {"provider.address", host + ":" + std::to_string(store_)}};
    for (const auto& bound : bounds) {
      values["bounds." + bound.first] = bound.second;
      ReplaceAll(&text, "{{#bounds." + bound.first + "}}", "");
      ReplaceAll(&text, "{{/bounds." + bound.first + "}}", "");
    }
    for (const auto& value : values)
      ReplaceAll(&text, "{{" + value.first + "}}", value.second);
    if (text.find("{{") != std::string::npos)
      CannotRun("a gap of the template is not known");
    settings_ = folder_ + "/" + name_ + ".yaml";
    std::ofstream(settings_) << text;
  }

  void Spawn() {
    std::string program = repository_ + "/target/leverwickd";
    if (access(program.c_str(), X_OK) != 0)
      CannotRun("target/leverwickd is not built");
    std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ < 0) CannotRun("no process can be started");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(repository_.c_str()) != 0) _exit(127);
      execl(program.c_str(), "target/leverwickd", "--config", settings_.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    RECORD("%s starts", name_.c_str());
  }

  const std::string repository_;
  const std::string folder_;
  const std::string name_;
  const std::string zone_;
  const uint16_t store_;
  std::string settings_;
  uint16_t callers_ = 0, ready_ = 0, metrics_ = 0, peers_ = 0;
  pid_t pid_ = 0;
};

// ----------------------------------------------------------------
// configuration

struct Route {
  std::string name;
  std::string kind;  // safe, unsafe or streaming
  std::string service;
  int timeout_ms = 5000;
  int target_ms = 500;
  int max_attempts = 3;
  std::string more;  // further fields, with a comma before each
};

constexpr char kHost[] = "ficu95.example";
constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";

inline std::string Config(int version, const std::vector<Route>& routes,
                          const std::vector<std::string>& services,
                          const std::string& keys) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (const Route& route : routes) {
    if (text.back() != '[') text += ",";
    text += "{\"name\":\"" + route.name + "\",\"host\":\"" + kHost +
            "\",\"path_prefix\":\"/" + route.name + "/\",\"kind\":\"" +
            route.kind + "\",\"service\":\"" + route.service +
            "\",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
            ",\"target_latency_ms\":" + std::to_string(route.target_ms) +
            ",\"max_attempts\":" + std::to_string(route.max_attempts) +
            ",\"priority\":1" + route.more + "}";
  }
  text += "],\"services\":[";
  for (const std::string& service : services) {
    if (text.back() != '[') text += ",";
    text += service;
  }
  text +=
      "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[" +
      keys + "]}]}";
  return text;
}

// The text of a request as the pages show it.
inline std::string RequestText(const std::string& method,
                               const std::string& path, const std::string& id,
                               int deadline_ms, const std::string& body,
                               const std::string& more = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nLeverwick-Request-Id: " + id +
         "\r\nLeverwick-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + kKey + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- a case

struct Options {
  std::string repository;
  std::string folder;  // temporary
  bool trouble = true;
};

// Arguments: the repository, a temporary folder, the record's path. TROUBLE=0
// leaves the disruption out.
inline Options Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 4) {
    std::cerr << "usage: " << argv[0] << " REPOSITORY FOLDER RECORD"
              << std::endl;
    std::_Exit(kCannotRun);
  }
  Start();
  Record::Get().Open(argv[3]);
  const char* trouble = getenv("TROUBLE");
  Options options{argv[1], argv[2],
                  trouble == nullptr || std::string(trouble) != "0"};
  RECORD("begins, %s the disruption", options.trouble ? "with" : "without");
  return options;
}

// Ends the boxes and the case.
[[noreturn]] inline void Finish(std::vector<Box*> boxes, bool broken,
                                const std::string& what) {
  for (Box* box : boxes) box->End();
  RECORD("%s: %s", broken ? "BROKEN" : "held", what.c_str());
  std::cout << (broken ? "BROKEN: " : "held: ") << what << std::endl;
  std::_Exit(broken ? kBroken : kHeld);
}

inline std::string NewId() {
  static std::atomic<uint64_t> next{0x9c41d07be2a30000ULL +
                                    static_cast<uint64_t>(getpid()) * 65536};
  char text[20];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(next++));
  return text;
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_HARNESS_H_
