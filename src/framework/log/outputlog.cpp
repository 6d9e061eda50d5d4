//===- outputlog.cpp - The log on standard output -------------------------===//
//
// An appender of log4cxx that only puts lines into the buffer, and the writing.
//
//===----------------------------------------------------------------------===//

#include "framework/log/outputlog.h"

#include "framework/log/internal/logsetup.h"

#include <algorithm>
#include <log4cxx/appenderskeleton.h>
#include <poll.h>
#include <unistd.h>

namespace geraniumbay {

namespace {

constexpr Duration FlushInterval = std::chrono::milliseconds(50);
/// A pipe that can be written takes this much without blocking.
constexpr std::size_t MaxWrite = 4096;

bool canWrite(int Descriptor) {
  pollfd Polled{Descriptor, POLLOUT, 0};
  return ::poll(&Polled, 1, 0) == 1 && (Polled.revents & POLLOUT) != 0;
}

} // namespace

using namespace log4cxx; // NOLINT: the macros below name its parts so

/// Puts each event's line into the buffer.
class BufferAppender : public log4cxx::AppenderSkeleton {
public:
  DECLARE_LOG4CXX_OBJECT(BufferAppender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(BufferAppender)
  LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  BufferAppender() = default;
  BufferAppender(const log4cxx::LayoutPtr &Layout, LineBuffer &Into,
                 const IClock &Clock)
      : Layout_(Layout), Into_(&Into), Clock_(&Clock) {}

  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    if (!Into_)
      return;
    log4cxx::LogString Line;
    Layout_->format(Line, Event, Pool);
    bool IsFailure =
        Event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
    Into_->add(Line, IsFailure, Clock_->now());
  }
  void close() override { Into_ = nullptr; }
  bool requiresLayout() const override { return true; }

private:
  log4cxx::LayoutPtr Layout_;
  LineBuffer *Into_ = nullptr;
  const IClock *Clock_ = nullptr;
};

IMPLEMENT_LOG4CXX_OBJECT(BufferAppender)

OutputLog::OutputLog(LogLevel Lowest, int Descriptor, const IClock &Clock,
                     ITimers &Timers, LineBufferLimits Limits)
    : Descriptor_(Descriptor), Clock_(Clock), Timers_(Timers), Lines_(Limits),
      Appender_(std::make_shared<BufferAppender>(logLayout(), Lines_, Clock)) {
  logTo(Appender_, Lowest);
  flushLater();
}

OutputLog::~OutputLog() {
  Timers_.cancel(Timer_);
  flush();
  Appender_->close();
}

void OutputLog::flushLater() {
  Timer_ = Timers_.after(FlushInterval, [this] {
    flush();
    flushLater();
  });
}

void OutputLog::flush() {
  if (std::size_t LeftOut = Lines_.takeLeftOut())
    Lines_.add("level=WARN module=log " +
                   formatEvent("lines_left_out", {{"count", LeftOut}}) + "\n",
               true, Clock_.now());
  while (!Lines_.waiting().empty() && canWrite(Descriptor_)) {
    std::string_view Next = Lines_.waiting().substr(0, MaxWrite);
    ssize_t Count = ::write(Descriptor_, Next.data(), Next.size());
    if (Count <= 0)
      return;
    Lines_.written(static_cast<std::size_t>(Count));
  }
}

} // namespace geraniumbay
