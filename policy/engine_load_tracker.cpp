#include "policy/engine_load_tracker.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Share of a prompt's expected duration that counts as its remaining time once the prefill is overdue.
constexpr double overdue_share = 0.2;

/// Share of an engine's KV cache that is assumed to hold prefixes of prompts which are not running.
constexpr double cache_share = 0.85;

/// Returns the prompt whose prefill is running, or null if there is none. An engine runs one prefill at a time without
/// preemption, and starts the most urgent waiting prompt when one ends.
const prefill_job* find_running_prefill(std::span<const prefill_job> jobs, steady_time last_finished_at) {
    const prefill_job* current = nullptr;
    for (const prefill_job& job : jobs) {
        if (current == nullptr) {
            current = &job;
            continue;
        }
        const bool has_waited = job.sent_at <= last_finished_at;
        const bool has_current_waited = current->sent_at <= last_finished_at;
        if (has_waited && has_current_waited) {
            current =
                std::pair(job.urgency, job.sent_at) < std::pair(current->urgency, current->sent_at) ? &job : current;
        } else if (job.sent_at < current->sent_at) {
            current = &job;
        }
    }
    return current;
}

} // namespace

void engine_load_tracker::set_engines(const std::map<backend_server_name, engine_attributes>& engines) {
    std::erase_if(m_engines, [&](const auto& item) { return !engines.contains(item.first); });
    for (const auto& [name, attributes] : engines) {
        engine_entry& engine = m_engines[name];
        if (engine.attributes.started_at_ms != attributes.started_at_ms) {
            engine.cache.clear();
        }
        engine.attributes = attributes;
        engine.cache.set_capacity(
            static_cast<std::uint64_t>(cache_share * static_cast<double>(attributes.memory_tokens)));
    }
}

void engine_load_tracker::start_prefill(const backend_server_name& engine, const prefill_job& job,
                                        std::span<const prefix_block> blocks) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second.own.prompts.push_back(job);
    found->second.cache.touch(blocks);
}

void engine_load_tracker::end_prefill(const backend_server_name& engine, std::uint64_t number, steady_time now) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    std::erase_if(found->second.own.prompts, [&](const prefill_job& job) { return job.number == number; });
    found->second.last_finished_at = now;
}

void engine_load_tracker::start_decode(const backend_server_name& engine, std::uint64_t tokens,
                                       std::span<const prefix_block> blocks) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    ++found->second.own.running;
    found->second.own.running_tokens += tokens;
    found->second.cache.touch(blocks);
}

void engine_load_tracker::end_decode(const backend_server_name& engine, std::uint64_t tokens) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    host_engine_load& own = found->second.own;
    own.running -= std::min<std::uint32_t>(own.running, 1);
    own.running_tokens -= std::min(own.running_tokens, tokens);
}

void engine_load_tracker::set_host_load(const std::string& host,
                                        const std::map<backend_server_name, host_engine_load>& shares,
                                        steady_time now) {
    for (auto& [name, engine] : m_engines) {
        const auto share = shares.find(name);
        const auto before = engine.other_hosts.find(host);
        const std::size_t prompts_before = before == engine.other_hosts.end() ? 0 : before->second.prompts.size();
        if (share == shares.end()) {
            engine.other_hosts.erase(host);
        } else {
            engine.other_hosts[host] = share->second;
        }
        const std::size_t prompts_now = share == shares.end() ? 0 : share->second.prompts.size();
        if (prompts_now < prompts_before) {
            engine.last_finished_at = now;
        }
    }
}

void engine_load_tracker::remove_host(const std::string& host) {
    for (auto& [name, engine] : m_engines) {
        engine.other_hosts.erase(host);
    }
}

void engine_load_tracker::record_prefix_access(const backend_server_name& engine,
                                               std::span<const prefix_block> blocks) {
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.cache.touch(blocks);
    }
}

duration engine_load_tracker::get_backlog(const backend_server_name& engine, steady_time now,
                                          std::uint32_t urgency) const {
    const engine_entry* state = find(engine);
    return state == nullptr ? duration::zero() : get_backlog(*state, now, urgency);
}

duration engine_load_tracker::get_backlog(const engine_entry& engine, steady_time now, std::uint32_t urgency) {
    std::vector<prefill_job> jobs = engine.own.prompts;
    for (const auto& [host, share] : engine.other_hosts) {
        jobs.insert(jobs.end(), share.prompts.begin(), share.prompts.end());
    }
    const prefill_job* current = find_running_prefill(jobs, engine.last_finished_at);
    duration backlog{};
    for (const prefill_job& job : jobs) {
        if (&job == current) {
            const steady_time started_at = std::max(job.sent_at, engine.last_finished_at);
            const duration done = std::max(duration::zero(), now - started_at);
            const auto overdue = std::chrono::duration_cast<duration>(job.cost * overdue_share);
            backlog += std::max(job.cost - done, overdue);
        } else if (job.urgency <= urgency) {
            backlog += job.cost;
        }
    }
    return backlog;
}

engine_load_tracker::running_load engine_load_tracker::get_running_load(const engine_entry& engine) {
    running_load load{.requests = engine.own.running, .tokens = engine.own.running_tokens};
    for (const auto& [host, share] : engine.other_hosts) {
        load.requests += share.running;
        load.tokens += share.running_tokens;
    }
    return load;
}

std::uint32_t engine_load_tracker::get_running(const backend_server_name& engine) const {
    const engine_entry* state = find(engine);
    return state == nullptr ? 0 : get_running_load(*state).requests;
}

std::uint32_t engine_load_tracker::get_prompts(const backend_server_name& engine) const {
    const engine_entry* state = find(engine);
    if (state == nullptr) {
        return 0;
    }
    std::size_t prompts = state->own.prompts.size();
    for (const auto& [host, share] : state->other_hosts) {
        prompts += share.prompts.size();
    }
    return static_cast<std::uint32_t>(prompts);
}

std::uint64_t engine_load_tracker::get_running_tokens(const backend_server_name& engine) const {
    const engine_entry* state = find(engine);
    return state == nullptr ? 0 : get_running_load(*state).tokens;
}

std::uint64_t engine_load_tracker::get_cached_tokens(const backend_server_name& engine,
                                                     std::span<const prefix_block> blocks) const {
    const engine_entry* state = find(engine);
    return state == nullptr ? 0 : state->cache.get_cached_tokens(blocks);
}

const engine_load_tracker::engine_entry* engine_load_tracker::find(const backend_server_name& engine) const {
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

} // namespace dragonflywell::policy
