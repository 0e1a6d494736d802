// Notes are gathered until the first has waited for some milliseconds, or the
// datagram is full. A datagram that can't be sent or read is counted and costs
// nothing but accuracy.

#include "daemon/load_exchange.h"

#include <random>

#include "net/log.h"
#include "net/tcp_connection.h"

namespace leverwick {
namespace {

const Log kLog("loads");

// How long a note waits for others: well below the 40 ms that the shortest
// prompts take to be read, so that the news is not older than the prompt.
constexpr milliseconds kGather{10};
// Far boxes' notes wait longer, so that one datagram holds more of them: at
// four long prompts a second and box each mostly has its own all the same.
constexpr milliseconds kFarGather{50};
// Prompts that take an engine at least this long to read are long. A third of
// the sends are, the larger models' (played days), with nearly all that there
// is to read.
constexpr Seconds kLongReading{0.03};
// Notes that fill a datagram; with the one that came last it stays below 1,400
// bytes, what an Ethernet frame takes.
constexpr size_t kFullBytes = 1000;

}  // namespace

LoadExchange::LoadExchange(boost::asio::io_context* loop, EngineLoads* loads,
                           Metrics* metrics, std::string data_centre,
                           size_t most_far)
    : loads_(loads),
      metrics_(metrics),
      data_centre_(std::move(data_centre)),
      most_far_(most_far),
      socket_(*loop),
      timer_(*loop),
      far_timer_(*loop) {
  notes_.set_life(std::random_device{}());
}

LoadExchange::~LoadExchange() { loads_->Observe(nullptr); }

std::error_code LoadExchange::Start(
    const boost::asio::ip::udp::endpoint& address) {
  boost::system::error_code error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.bind(address, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return error;
  loads_->Observe(this);
  Receive();
  return {};
}

void LoadExchange::SetBoxes(const std::vector<FleetBox>& boxes) {
  std::vector<Address> near;
  std::vector<Address> far;
  for (const FleetBox& box : boxes) {
    boost::asio::ip::tcp::endpoint address;
    if (!ParseAddress(box.address, &address)) {
      kLog.Error("A box's address can't be read.", {{"box", box.name}});
      continue;
    }
    auto& group = box.data_centre == data_centre_ ? near : far;
    group.emplace_back(address.address(), address.port());
  }
  told_ = std::move(near);
  far_told_ = std::move(far);
  if (far_told_.size() > most_far_) return;
  told_.insert(told_.end(), far_told_.begin(), far_told_.end());
  far_told_.clear();
}

void LoadExchange::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](boost::system::error_code error, size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        // An error is that of a datagram sent before, to a box that is gone.
        if (!error) Learn(size);
        Receive();
      });
}

void LoadExchange::Learn(size_t size) {
  LoadNotes notes;
  bool readable = notes.ParseFromArray(buffer_.data(), static_cast<int>(size));
  metrics_->Add("leverwick_load_notes_total",
                readable ? "result=\"heard\"" : "result=\"unreadable\"", 1);
  if (!readable) return;
  TimePoint now = Clock::now();
  for (const PromptNote& note : notes.sent()) {
    SentPrompt prompt;
    prompt.life = notes.life();
    prompt.ticket = note.ticket();
    prompt.endpoint = note.endpoint();
    prompt.reading = Seconds(note.reading_seconds());
    prompt.parts.assign(note.parts().begin(), note.parts().end());
    loads_->PeerSent(prompt, now);
  }
  for (const FarPromptNote& note : notes.far()) {
    loads_->FarSent(note.endpoint(), Seconds(note.reading_seconds()), now);
  }
  for (uint64_t ticket : notes.read()) loads_->PeerRead(notes.life(), ticket);
}

void LoadExchange::OnSent(const SentPrompt& prompt) {
  PromptNote* note = notes_.add_sent();
  note->set_ticket(prompt.ticket);
  note->set_endpoint(prompt.endpoint);
  note->set_reading_seconds(static_cast<float>(prompt.reading.count()));
  note->mutable_parts()->Add(prompt.parts.begin(), prompt.parts.end());
  SendSoon();
  if (far_told_.empty() || prompt.reading < kLongReading) return;
  FarPromptNote* far = far_notes_.add_far();
  far->set_endpoint(prompt.endpoint);
  far->set_reading_seconds(static_cast<float>(prompt.reading.count()));
  SendFarSoon();
}

void LoadExchange::OnRead(uint64_t ticket) {
  notes_.add_read(ticket);
  SendSoon();
}

void LoadExchange::SendSoon() {
  if (notes_.ByteSizeLong() >= kFullBytes) return Send();
  if (waiting_) return;
  waiting_ = true;
  timer_.expires_after(kGather);
  timer_.async_wait([this](auto error) {
    if (error) return;
    waiting_ = false;
    Send();
  });
}

void LoadExchange::Send() {
  if (notes_.sent().empty() && notes_.read().empty()) return;
  SendTo(notes_, told_);
  notes_.clear_sent();
  notes_.clear_read();
}

void LoadExchange::SendFarSoon() {
  if (far_notes_.ByteSizeLong() >= kFullBytes) return SendFar();
  if (far_waiting_) return;
  far_waiting_ = true;
  far_timer_.expires_after(kFarGather);
  far_timer_.async_wait([this](auto error) {
    if (error) return;
    far_waiting_ = false;
    SendFar();
  });
}

void LoadExchange::SendFar() {
  if (far_notes_.far().empty()) return;
  SendTo(far_notes_, far_told_);
  far_notes_.clear_far();
}

void LoadExchange::SendTo(const LoadNotes& notes,
                          const std::vector<Address>& boxes) {
  std::string bytes = notes.SerializeAsString();
  for (const Address& box : boxes) {
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(bytes), box, 0, error);
    metrics_->Add("leverwick_load_notes_total",
                  error ? "result=\"not_sent\"" : "result=\"sent\"", 1);
  }
}

}  // namespace leverwick
