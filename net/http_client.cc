// A kept connection may have been closed by the other side meanwhile; then the
// exchange fails before any answer, and a repeatable call is made once more on
// a fresh connection. A connection is kept only after a whole answer.

#include "net/http_client.h"

#include <civetweb.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "leverwick/result.h"
#include "leverwick/time.h"
#include "net/http_codec.h"

namespace leverwick {
namespace {

constexpr size_t kMostIdle = 16;
constexpr size_t kReadBytes = 16384;
constexpr long long kLargestAnswer = 64LL << 20;

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& host, const std::string& body,
                        const std::map<std::string, std::string>& headers) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n";
  for (const auto& header : headers) {
    text += header.first + ": " + header.second + "\r\n";
  }
  return text + "\r\n" + body;
}

// Returns whether the head is one that HTTP allows.
bool ReadHead(const mg_response_info& info, HttpResult* result) {
  bool is_valid = IsFinalStatus(info.status_code);
  for (int i = 0; i < info.num_headers; ++i) {
    std::string name = info.http_headers[i].name;
    is_valid = is_valid && IsFieldName(name);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    result->headers[name] = info.http_headers[i].value;
  }
  return is_valid;
}

bool ReadBody(mg_connection* connection, long long length, std::string* body) {
  char buffer[kReadBytes];
  while (length < 0 || static_cast<long long>(body->size()) < length) {
    int size = mg_read(connection, buffer, sizeof buffer);
    if (size <= 0) break;
    body->append(buffer, static_cast<size_t>(size));
    if (static_cast<long long>(body->size()) > kLargestAnswer) return false;
  }
  return length < 0 || static_cast<long long>(body->size()) == length;
}

}  // namespace

bool SplitAddress(const std::string& address, std::string* host, int* port) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  char* end = nullptr;
  long number = std::strtol(address.c_str() + colon + 1, &end, 10);
  if (*end != '\0' || number <= 0 || number > 65535) return false;
  *host = address.substr(0, colon);
  *port = static_cast<int>(number);
  return true;
}

HttpClient::~HttpClient() {
  for (mg_connection* connection : idle_) mg_close_connection(connection);
}

mg_connection* HttpClient::TakeIdle() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (idle_.empty()) return nullptr;
  mg_connection* connection = idle_.back();
  idle_.pop_back();
  return connection;
}

mg_connection* HttpClient::Connect() {
  std::string host;
  int port = 0;
  if (!SplitAddress(address_, &host, &port)) return nullptr;
  char error[128];
  return mg_connect_client(host.c_str(), port, 0, error, sizeof error);
}

HttpResult HttpClient::Exchange(mg_connection* connection,
                                const std::string& bytes,
                                std::chrono::milliseconds timeout) {
  HttpResult result;
  result.error = Result::kUnreachable;
  result.sent = true;
  bytes_ += bytes.size();
  int written = mg_write(connection, bytes.data(), bytes.size());
  char error[128];
  bool answered = written == static_cast<int>(bytes.size()) &&
                  mg_get_response(connection, error, sizeof error,
                                  static_cast<int>(timeout.count())) >= 0;
  const mg_response_info* info =
      answered ? mg_get_response_info(connection) : nullptr;
  if (info == nullptr) {
    mg_close_connection(connection);
    return result;
  }
  if (!ReadHead(*info, &result)) {
    mg_close_connection(connection);
    result.error = Result::kBadResponse;
    return result;
  }
  result.status = info->status_code;
  bool keep = info->content_length >= 0;
  bool whole = ReadBody(connection, info->content_length, &result.body);
  constexpr uint64_t kHeaderBytes = 60;
  bytes_ += result.body.size() + kHeaderBytes;
  result.error = whole ? std::error_code() : Result::kBadResponse;
  std::lock_guard<std::mutex> lock(mutex_);
  bool closing = result.headers["connection"] == "close";
  if (whole && keep && !closing && idle_.size() < kMostIdle) {
    idle_.push_back(connection);
  } else {
    mg_close_connection(connection);
  }
  return result;
}

HttpResult HttpClient::Call(const std::string& method, const std::string& path,
                            const std::string& body,
                            std::chrono::milliseconds timeout,
                            const std::map<std::string, std::string>& headers,
                            bool repeatable) {
  std::string bytes = RequestText(method, path, address_, body, headers);
  auto begin = Clock::now();
  mg_connection* kept = repeatable ? TakeIdle() : nullptr;
  if (kept != nullptr) {
    HttpResult result = Exchange(kept, bytes, timeout);
    bool timed_out = Clock::now() - begin >= timeout;
    if (result.status != 0 || timed_out) return result;
  }
  mg_connection* fresh = Connect();
  if (fresh != nullptr) return Exchange(fresh, bytes, timeout);
  HttpResult result;
  result.error = Result::kUnreachable;
  return result;
}

}  // namespace leverwick
