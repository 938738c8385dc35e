#include "endivelatch/net/event_loop.hpp"

#include <stdexcept>
#include <utility>

namespace endivelatch {

namespace {

/// Always uses epoll; EVFLAG_NOENV ignores LIBEV_FLAGS.
constexpr unsigned loop_flags = unsigned{EVFLAG_NOENV} | unsigned{EVBACKEND_EPOLL};

} // namespace

event_loop::event_loop() : loop_{ev_loop_new(loop_flags)}
{
    if (loop_ == nullptr) {
        throw std::runtime_error{"cannot create the event loop: epoll is not available"};
    }
    ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* watcher, int) {
        static_cast<event_loop*>(watcher->data)->run_posted();
    });
    prepare_.data = this;
    ev_prepare_start(loop_, &prepare_);
    ev_unref(loop_);
    ev_idle_init(&idle_, [](struct ev_loop*, ev_idle*, int) {});
}

event_loop::~event_loop()
{
    posted_.clear(); // Posted calls may own watchers, which must not outlive the loop.
    ev_idle_stop(loop_, &idle_);
    ev_ref(loop_);
    ev_prepare_stop(loop_, &prepare_);
    ev_loop_destroy(loop_);
}

void event_loop::run()
{
    ev_ref(loop_);
    ev_run(loop_, 0);
    ev_unref(loop_);
}

void event_loop::run_once()
{
    ev_run(loop_, EVRUN_ONCE);
}

void event_loop::stop()
{
    ev_break(loop_, EVBREAK_ALL);
}

void event_loop::post(std::function<void()> call)
{
    posted_.push_back(std::move(call));
    ev_idle_start(loop_, &idle_);
}

void event_loop::run_posted()
{
    if (posted_.empty()) {
        ev_idle_stop(loop_, &idle_);
        return;
    }
    running_.swap(posted_);
    for (auto& it : running_) {
        it();
    }
    running_.clear();
    if (posted_.empty()) {
        ev_idle_stop(loop_, &idle_);
    }
}

} // namespace endivelatch
