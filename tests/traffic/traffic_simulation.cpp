#include "traffic_simulation.hpp"

#include "router_fixture.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr int target_count = 5;
constexpr duration budget_window = std::chrono::seconds{10};
constexpr duration end_slack = std::chrono::milliseconds{50};

} // namespace

traffic_simulation::traffic_simulation(std::uint64_t seed, injected_defect defect)
    : random_{seed}, evacuation_random_{seed + 1}, defect_{defect}
{
    dispatch(configuration_changed{make_configuration()});
    for (int n = 1; n <= target_count; ++n) {
        targets_.push_back(make_target(n));
        targets_.back().domain = domain_id{std::to_string(n % 3)};
    }
    change_targets();
}

void traffic_simulation::run(int steps)
{
    for (int i = 0; i < steps; ++i) {
        step();
    }
    clock_.advance(test_timeout);
    dispatch(timer_due{});
    for (const auto& [number, it] : requests_) {
        if (!it.has_ended) {
            report_violation("ends", "request " + std::to_string(number.value()) + " never ended");
        }
    }
    if (router_.active() != 0) {
        report_violation("ends", "the router still holds requests");
    }
}

void traffic_simulation::step()
{
    const auto draw = random_.below(100);
    if (draw < 25) {
        arrive();
    }
    else if (draw < 80 && !attempts_.empty()) {
        advance_attempt(random_.below(attempts_.size()));
    }
    else if (draw < 84) {
        change_targets();
        change_evacuations();
    }
    else if (draw < 87 && !requests_.empty()) {
        auto it = requests_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_.below(requests_.size())));
        if (!it->second.has_ended) {
            const auto number = it->first;
            it->second.has_ended = true; // The caller accepts no further data.
            ++ended_;
            dispatch(caller_disconnected{number});
        }
    }
    else {
        clock_.advance(std::chrono::milliseconds{1 + random_.below(60)});
        dispatch(timer_due{});
    }
    check_time();
}

void traffic_simulation::arrive()
{
    static const std::vector<traffic_route> routes{
        make_route("safe", request_kind::safe, 2), make_route("unsafe", request_kind::unsafe, 1),
        make_route("stream", request_kind::streaming, 1),
        make_route("resumable", request_kind::streaming, 2, true)};
    const auto& route = routes[random_.below(routes.size())];
    const exchange_number number{++last_request_};
    observed_request observed;
    observed.host = route.host;
    observed.is_idempotent = route.is_idempotent();
    observed.max_attempts = route.max_attempts;
    observed.length = 1 + static_cast<int>(random_.below(5));
    caller_request request;
    request.id = caller_attempt_id{std::to_string(number.value())};
    request.host = route.host;
    request.target = "/p/x";
    request.api_key = "key";
    const std::chrono::milliseconds timeout{100 + random_.below(3'000)};
    request.timeout = timeout;
    observed.deadline = clock_.now() + std::min<duration>(timeout, test_timeout) + end_slack;
    requests_.emplace(number, observed);
    request_times_.push_back(clock_.now());
    dispatch(request_arrived{number, std::move(request)});
}

void traffic_simulation::change_targets()
{
    auto& it = targets_[random_.below(targets_.size())];
    if (random_.below(3) == 0) {
        it.started = incarnation{it.started.value() + 1};
    }
    it.is_leaving = !it.is_leaving && random_.below(2) == 0;
    leaving_.clear();
    targets_changed changed{targets_, 0};
    for (auto& target : changed.targets) {
        if (target.is_leaving) {
            leaving_.insert(target.id);
        }
        target.is_leaving = target.is_leaving && defect_ != injected_defect::drain;
    }
    dispatch(std::move(changed));
}

void traffic_simulation::change_evacuations()
{
    evacuated_.clear();
    for (int n = 0; n < 3; ++n) {
        if (evacuation_random_.below(4) == 0) {
            evacuated_.insert(domain_id{std::to_string(n)});
        }
    }
    if (defect_ != injected_defect::evacuate) {
        dispatch(evacuations_changed{evacuated_});
    }
}

void traffic_simulation::advance_attempt(std::size_t index)
{
    auto it = attempts_[index];
    auto& request = requests_.at(it.key.exchange);
    const auto draw = random_.below(20);
    if (!it.runs && draw < 2) {
        attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
        dispatch(attempt_broken{it.key, attempt_stage::not_sent, "refused"});
        return;
    }
    if (!it.runs) {
        ++request.arrivals;
        if (request.arrivals > 1) {
            retry_times_.push_back(clock_.now());
        }
        if (draw < 5) {
            if (defect_ == injected_defect::statement) {
                ++request.runs;
            }
            attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
            target_answer refusal;
            refusal.status = 503;
            refusal.answered_attempt = caller_attempt_id{it.request_id};
            refusal.states_not_run = true;
            dispatch(answer_begun{it.key, std::move(refusal)});
            return;
        }
        ++request.runs;
        if (request.reported_not_run) {
            report_violation("not run", it.request_id + " runs after it was said not to");
        }
        if (!request.is_idempotent && request.runs > 1) {
            report_violation("once", it.request_id + " runs twice");
        }
        if (request.runs > static_cast<int>(request.max_attempts)) {
            report_violation("attempts", it.request_id + " runs on too many targets");
        }
        attempts_[index].runs = true;
        return;
    }
    if (draw < 2) {
        attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
        if (defect_ == injected_defect::ending && it.has_head) {
            dispatch(answer_finished{it.key});
            return;
        }
        const bool reports_not_sent = defect_ == injected_defect::stage;
        const auto stage = it.has_head ? attempt_stage::answering : attempt_stage::sent;
        dispatch(
            attempt_broken{it.key, reports_not_sent ? attempt_stage::not_sent : stage, "reset"});
        return;
    }
    if (!it.has_head) {
        target_answer answer;
        answer.status = draw == 3 ? 500 : 200;
        answer.is_signed = draw != 4 || defect_ == injected_defect::signature;
        answer.answered_attempt = caller_attempt_id{it.request_id};
        if (draw == 5 || draw == 6) {
            // An answer to an earlier request arrives first.
            if (defect_ != injected_defect::identity) {
                answer.answered_attempt = caller_attempt_id{"other"};
                dispatch(answer_begun{it.key, answer});
                return;
            }
            attempts_[index].has_head = true;
            dispatch(answer_begun{it.key, answer});
            dispatch(answer_bytes{it.key, "other"});
            return;
        }
        attempts_[index].has_head = true;
        if (answer.status != 200 || draw == 4) {
            attempts_[index].last_event = 0;
            attempts_[index].next_event = 1;
        }
        if (draw == 4) {
            attempts_[index].last_event = 1; // The body does not come from the target.
        }
        dispatch(answer_begun{it.key, answer});
        if (draw == 4 && defect_ == injected_defect::signature) {
            dispatch(answer_bytes{it.key, "unsigned"});
        }
        return;
    }
    if (it.next_event > it.last_event) {
        end_attempt(index);
        return;
    }
    ++attempts_[index].next_event;
    const auto text = event_text(it.next_event);
    // The event arrives in two pieces of random size.
    const auto cut = random_.below(text.size() + 1);
    dispatch(answer_bytes{it.key, text.substr(0, cut)});
    dispatch(answer_bytes{it.key, text.substr(cut)});
}

void traffic_simulation::end_attempt(std::size_t index)
{
    const auto key = attempts_[index].key;
    attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
    dispatch(answer_finished{key});
}

void traffic_simulation::dispatch(traffic_event&& event)
{
    auto effects = router_.handle(std::move(event), clock_.now());
    for (auto& it : effects) {
        std::visit([this](auto& e) { on(e); }, it);
    }
}

void traffic_simulation::check_time()
{
    for (const auto& [number, it] : requests_) {
        if (!it.has_ended && clock_.now() > it.deadline + std::chrono::milliseconds{60}) {
            report_violation("timeout", "request " + std::to_string(number.value()) +
                                            " has no answer in time");
        }
    }
    const auto from = clock_.now() - budget_window;
    while (!request_times_.empty() && request_times_.front() < from) {
        request_times_.pop_front();
    }
    while (!retry_times_.empty() && retry_times_.front() < from) {
        retry_times_.pop_front();
    }
    const traffic_settings settings;
    const auto allowed =
        settings.retry_share * static_cast<double>(request_times_.size()) + settings.retry_burst;
    if (static_cast<double>(retry_times_.size()) > allowed) {
        report_violation("budget", std::to_string(retry_times_.size()) + " retries in a window");
    }
}

void traffic_simulation::on(start_attempt& e)
{
    const auto& request = requests_.at(e.key.exchange);
    if (request.has_ended) {
        report_violation("ends", e.request->id.str() + " is sent after its end");
    }
    if (leaving_.contains(e.parameters.expected_target)) {
        report_violation("drain",
                         e.parameters.expected_target.str() + " gets a request while it leaves");
    }
    const auto target = std::find_if(targets_.begin(), targets_.end(), [&](const auto& known) {
        return known.id == e.parameters.expected_target;
    });
    if (evacuated_.contains(target->domain)) {
        report_violation("evacuate", target->id.str() + " gets a request in an evacuated domain");
    }
    active_attempt it;
    it.key = e.key;
    it.target = e.parameters.expected_target;
    it.request_id = e.request->id.str();
    it.next_event = static_cast<int>(e.parameters.resume_after.value_or(0)) + 1;
    it.last_event = request.length;
    if (defect_ == injected_defect::events && it.next_event > 1) {
        ++it.next_event;
    }
    attempts_.push_back(it);
}

void traffic_simulation::on(cancel_attempt& e)
{
    std::erase_if(attempts_, [&](const auto& it) { return it.key == e.key; });
}

void traffic_simulation::on(skip_answer&) {}

void traffic_simulation::on(begin_answer& e)
{
    auto& it = requests_.at(e.exchange);
    if (it.has_begun || it.has_ended) {
        report_violation("whole", "two answers to request " + std::to_string(e.exchange.value()));
    }
    it.has_begun = true;
    it.length = e.status == 200 ? it.length : 0;
}

void traffic_simulation::on(send_bytes& e)
{
    requests_.at(e.exchange).received += e.bytes;
}

void traffic_simulation::on(end_answer& e)
{
    auto& it = requests_.at(e.exchange);
    if (it.received != complete_body(it)) {
        report_violation("whole", "request " + std::to_string(e.exchange.value()) + " got \"" +
                                      it.received + '"');
    }
    end(e.exchange, it);
}

void traffic_simulation::on(abort_answer& e)
{
    auto& it = requests_.at(e.exchange);
    if (!complete_body(it).starts_with(it.received)) {
        report_violation("whole",
                         "request " + std::to_string(e.exchange.value()) + " got other bytes");
    }
    end(e.exchange, it);
}

void traffic_simulation::on(refuse_request& e)
{
    auto& it = requests_.at(e.exchange);
    if (it.has_begun) {
        report_violation("whole", "an error follows the start of an answer");
    }
    const bool reports_not_run = e.status == 503 || e.status == 429 || e.status == 408;
    if (reports_not_run && it.runs > 0) {
        report_violation("not run", "request " + std::to_string(e.exchange.value()) + " has run");
    }
    it.reported_not_run = reports_not_run;
    end(e.exchange, it);
}

void traffic_simulation::end(exchange_number number, observed_request& it)
{
    if (it.has_ended) {
        report_violation("ends", "request " + std::to_string(number.value()) + " ends twice");
    }
    it.has_ended = true;
    ++ended_;
}

void traffic_simulation::report_violation(const std::string& rule, const std::string& detail)
{
    constexpr std::size_t max_violations = 20;
    if (violations_.size() < max_violations) {
        violations_.push_back(rule + ": " + detail);
    }
}

std::string traffic_simulation::event_text(int n)
{
    return "id: " + std::to_string(n) + "\ndata: " + std::string(static_cast<std::size_t>(n), 'x') +
           "\n\n";
}

std::string traffic_simulation::complete_body(const observed_request& it) const
{
    std::string body;
    for (int n = 1; n <= it.length; ++n) {
        body += event_text(n);
    }
    return body;
}

} // namespace endivelatch
