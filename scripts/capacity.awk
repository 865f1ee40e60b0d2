# Computes the tables of docs/CAPACITY.md. Input: BENCH/name=value lines. Output
# in the folder given as variable "tables": NAME.table for each table, and
# "used", the values that the tables are computed from. Each table has a column
# for one deployment that serves everything and one for a deployment in each of
# the four regions.

# set_target() sets the target of docs/design.md, section 1, multiplied by
# @scale, and assumptions for quantities that the users have not stated.
function set_target(scale) {
    scaled = scale
    upstreams = 17000 * scale
    services = 1100
    calls = 2600000 * scale
    depth = 16
    regions = 4
    domains = 13 * scale
    changes = 56000
    starts = 2744 * scale
    lines_each = 4
    claim_share = 0.1
    core_share = 0.6
    partitions = 1
    record_bytes_max = 262144
    probe_requests = 20
    probe_bytes = 4000
    list_interval_s = 1
    hosts_per_upstream = 227
    claim_memory = 16777216
}

# lookup() returns a measured value and adds it to the sources of the current
# row. If there is no such value, the row is "not measured".
function lookup(name) {
    if (!(name in value)) {
        absent = 1
        value_used[name] = ""
        add_source(name)
        return 1
    }
    value_used[name] = value[name]
    add_source(name)
    return value[name]
}

function add_source(name) {
    if (index(sources ", ", "`" name "`, ") == 0) {
        sources = sources (sources == "" ? "" : ", ") "`" name "`"
    }
}

# human() formats a number with an SI prefix.
function human(x) {
    if (x >= 1e9) {
        return sprintf("%.1f G", x / 1e9)
    }
    if (x >= 1e6) {
        return sprintf("%.1f M", x / 1e6)
    }
    if (x >= 1e4) {
        return sprintf("%.0f k", x / 1e3)
    }
    if (x >= 100) {
        return sprintf("%.0f ", x)
    }
    if (x >= 1) {
        return sprintf("%.1f ", x)
    }
    return sprintf("%.3g ", x)
}

# row() adds a row to a table; @bound is 0 if the target states none.
function row(table, label, x, unit, bound,    text) {
    text = absent ? "not measured" : human(x) unit
    sub(/ $/, "", text)
    if (!absent && bound > 0) {
        text = text (x <= bound ? "" : " (over)")
    }
    if (scaled == 1) {
        order[table] = order[table] label "\n"
        bounds[table, label] = bound > 0 ? human(bound) unit : ""
        from[table, label] = sources == "" ? "target" : sources
    }
    cell[table, label, scaled] = text
    absent = 0
    sources = ""
}

# host_count() returns the number of hosts that the calls need. h() returns the
# same without adding it to the sources of the row.
function host_count() {
    hosts = calls * lookup("bench_hosts/host_quiet_cpu_us_per_request") / 1e6 / core_share
    hosts = hosts == int(hosts) ? hosts : int(hosts) + 1
    hosts_absent = absent
    return hosts
}

function h() {
    if (hosts_absent) {
        absent = 1
    }
    return hosts
}

# at_hosts() extrapolates a series to h() hosts by its slope between the two
# largest sizes that were measured. With more than 80 hosts gossip no longer fits
# one message, so that slopes between smaller sizes do not apply.
function at_hosts(series,    large, small) {
    large = lookup("bench_membership/" series "_200")
    small = lookup("bench_membership/" series "_100")
    return large + (h() - 200) * (large - small) / 100
}

function list_entry_bytes() {
    return (lookup("bench_slopes/slopes_host_list_bytes_17000_upstreams") - lookup("bench_slopes/slopes_host_list_bytes_1700_upstreams")) / 15300
}

function list_bytes() { return (upstreams + h()) * list_entry_bytes() }

function claim_bytes() { return lookup("bench_outcomes/memory_1048576_keys_record_bytes_per_key") }

function change_bytes() { return lookup("bench_config/snapshot_bytes") / 4000 }

function traffic_rows() {
    row("traffic", "hosts, each with 60% of one core for traffic", host_count(), "", 0)
    row("traffic", "calls of a host", calls / h(), "calls/s", 0)
    row("traffic", "processor time of a call, whole process", lookup("bench_hosts/host_quiet_cpu_us_per_request"), "us", 0)
    row("traffic", "of it: routing decision", lookup("bench_routing_cost/decision_ns_17000") / 1000, "us", 0)
    row("traffic", "of it: shares, 1,100 services short at once", lookup("bench_limits_cost/decision_1100_services_4_lines_ns") / 1000, "us", 0)
    row("traffic", "of it: caller, selector, service", lookup("bench_config/admit_ns_at_4000_callers") / 1000, "us", 0)
    row("traffic", "added to a call at p50", lookup("bench_hosts/host_added_p50_us") / 1000, "ms", 0)
    row("traffic", "added to a call at p99", lookup("bench_hosts/host_added_p99_us") / 1000, "ms", 1.3)
    row("traffic", "added to a chain of 16 at the p50 of each", depth * lookup("bench_hosts/host_added_p50_us") / 1000, "ms", 0)
    row("traffic", "upstreams that a host connects to, at most", h() > hosts_per_upstream ? upstreams * hosts_per_upstream / h() : upstreams, "", 0)
    row("traffic", "load of the others after a failure domain is lost (0.60 before)", core_share * domains / (domains - 1), "of a core", 1)
}

function memory_rows() {
    row("memory", "router: 17,000 upstreams, 1,100 services", lookup("bench_routing_cost/router_bytes_17000") / 1e6, "MB", 0)
    row("memory", "shares: 1,100 services of 4 lines, all limited", services * lines_each * lookup("bench_limits_cost/limited_bytes_per_line_1100_services_4_lines") / 1e6, "MB", 0)
    row("memory", "configuration: 4,000 callers and selectors", lookup("bench_config/state_resident_mb"), "MB", 0)
    row("memory", "after 56,000 more changes", lookup("bench_config/state_resident_mb") + lookup("bench_config/catch_up_growth_mb"), "MB", 0)
    row("memory", "membership", at_hosts("memory_bytes") / 1e6, "MB", 0)
    row("memory", "remembered keys (`claims.memory_bytes`, default)", claim_memory / 1e6, "MB", 0)
    row("memory", "resident, whole process, no traffic, 17,000 upstreams listed", lookup("bench_slopes/slopes_resident_kb_17000_upstreams_interval_1000_ms") * 1024 / 1e6, "MB", 32)
}

function control_rows() {
    row("control", "gossip sent, calm", at_hosts("calm_bytes_per_s"), "B/s", 10000)
    row("control", "gossip sent, surge, most in a second (200 hosts)", lookup("bench_membership/surge_bytes_in_any_second_200"), "B/s", 10000)
    row("control", "gossip, messages", at_hosts("calm_messages_per_s"), "/s", 0)
    row("control", "gossip, processor time", 100 * at_hosts("calm_cpu_share"), "% of a core", 1)
    row("control", "configuration read, 56,000 changes a day", changes / 86400 * change_bytes(), "B/s", 10000)
    row("control", "configuration, processor time", lookup("bench_config/config_share_of_core_per_cent"), "% of a core", 1)
    row("control", "host list read, once a second", list_bytes() / list_interval_s, "B/s", 10000)
    row("control", "idle process, 17,000 upstreams and 1,100 services", 100 * lookup("bench_slopes/slopes_cpu_share_17000_upstreams_interval_1000_ms"), "% of a core", 1)
    row("control", "idle process, 35 upstreams, 1,100 services configured", 100 * lookup("bench_slopes/slopes_cpu_share_35_upstreams_interval_1000_ms"), "% of a core", 1)
    row("control", "idle process, 20 upstreams, 2 services", 100 * lookup("bench_hosts/host_quiet_idle_core_share"), "% of a core", 1)
    row("control", "probes at the default budget of every service", services * probe_requests / h(), "/s", 0)
    row("control", "bytes of these probes, at most", services * probe_bytes / h(), "B/s", 10000)
    row("control", "claims read, a tenth of all calls", calls * claim_share * claim_bytes(), "B/s", 10000)
    row("control", "the loop stands still while a starting host loads a snapshot", lookup("bench_config/snapshot_load_ms"), "ms", 0)
    row("control", "the loop stands still while a running host checks one", lookup("bench_config/snapshot_check_known_ms"), "ms", 0)
    row("control", "subsets of 1,100 services after a change of members, 200 hosts", services * lookup("bench_routing_cost/subset_us_per_service_200_hosts") / 1000, "ms", 0)
    row("control", "the same, 2,000 hosts", services * lookup("bench_routing_cost/subset_us_per_service_2000_hosts") / 1000, "ms", 0)
    row("control", "a snapshot from a peer at 10 KB/s", lookup("bench_config/snapshot_bytes") / 10000, "s", 3)
}

function change_rows() {
    row("changes", "publication in force, p99, log healthy (20 hosts, simulated)", lookup("bench_config/in_force_healthy_p99_ms") / 1000, "s", 9)
    row("changes", "the same, one host cut off and 20% loss, max", lookup("bench_config/in_force_one_cut_lossy_max_ms") / 1000, "s", 9)
    row("changes", "changes", changes / 86400, "/s", 0)
    row("changes", "starts of processes, 44 failures and 2,700 replacements a day", starts / 86400, "/s", 0)
    row("changes", "processor time of a start", lookup("bench_config/start_cpu_at_this_size_s"), "s", 2)
    row("changes", "snapshots read by starts", starts / 86400 * lookup("bench_config/snapshot_bytes"), "B/s", 0)
    row("changes", "a start with the log up, longest (20 hosts, simulated)", lookup("bench_config/ready_log_up_max_s"), "s", 2)
    row("changes", "a start with the log down, longest (20 hosts, simulated)", lookup("bench_config/ready_log_down_max_s"), "s", 3)
    row("changes", "a dead host removed by all others, 200 hosts", lookup("bench_membership/death_all_hosts_max_s_200"), "s", 0)
    row("changes", "the same at this number of hosts, in proportion", lookup("bench_membership/death_all_hosts_max_s_200") * h() / 200, "s", 0)
    row("changes", "a drain at all other hosts, p99, 200 hosts", lookup("bench_membership/drain_all_hosts_p99_ms_200") / 1000, "s", 2)
    row("changes", "after an hour's partition: most bytes of a host in a second (20 hosts)", lookup("bench_membership/rejoin_bytes_in_any_second_20"), "B/s", 10000)
}

function collector_rows() {
    row("collector", "claims, a tenth of all calls", calls * claim_share, "/s", 0)
    row("collector", "claims received from hosts", calls * claim_share * claim_bytes(), "B/s", 0)
    row("collector", "bytes of one append, 60 a second", calls * claim_share * claim_bytes() / 60, "B", record_bytes_max)
    row("collector", "claims that 60 records of 256 KiB hold", 60 * record_bytes_max / claim_bytes(), "/s", 0)
    row("collector", "claim to dispatch at 2,000/s, p50 (simulated)", lookup("bench_outcomes/added_tunis_collector_2000_per_s_p50_ms"), "ms", 0)
    row("collector", "claim to dispatch at 2,000/s, p99 (simulated)", lookup("bench_outcomes/added_tunis_collector_2000_per_s_p99_ms"), "ms", 0)
    row("collector", "processor time of a claim", lookup("bench_outcomes/claim_cpu_us"), "us", 0)
    row("collector", "remembered time at the default memory", claim_memory / lookup("bench_outcomes/memory_1048576_keys_bytes_per_key") / (calls * claim_share), "s", 0)
    row("collector", "remembered time at the largest setting (1 GiB)", 64 * claim_memory / lookup("bench_outcomes/memory_1048576_keys_bytes_per_key") / (calls * claim_share), "s", 0)
}

function log_rows() {
    row("log", "appends for claims, 2,000/s (20 hosts)", lookup("bench_outcomes/appends_tunis_collector_2000_per_s"), "/s", 100)
    row("log", "appends for publications", changes / 86400, "/s", 0)
    row("log", "appends when idle (20 hosts)", lookup("bench_config/idle_appends_per_s"), "/s", 5)
    row("log", "bytes appended for claims", calls * claim_share * claim_bytes(), "B/s", 0)
    row("log", "readers that wait: each host, 3 streams", 3 * h(), "", 0)
    row("log", "bytes read by hosts: claims", h() * calls * claim_share * claim_bytes(), "B/s", 0)
    row("log", "bytes read by hosts: configuration", h() * changes / 86400 * change_bytes(), "B/s", 0)
    row("log", "bytes kept for claims, an hour", 3600 * calls * claim_share * claim_bytes(), "B", 0)
}

function list_rows() {
    row("list", "entries", upstreams + h(), "", 0)
    row("list", "bytes of one read", list_bytes(), "B", 16777216)
    row("list", "reads, one a second for each host", h() / list_interval_s, "/s", 0)
    row("list", "bytes read by all hosts", h() * list_bytes() / list_interval_s, "B/s", 0)
}

function operator_rows() {
    row("operator", "processor time of one call, longest tail", lookup("bench_config/start_cpu_at_this_size_s"), "s", 0)
    row("operator", "bytes of the snapshot that it reads", lookup("bench_config/snapshot_bytes"), "B", 0)
    row("operator", "memory", lookup("bench_config/state_resident_mb"), "MB", 0)
    row("operator", "bytes read from the log by 56,000 calls a day", changes / 86400 * lookup("bench_config/snapshot_bytes"), "B/s", 0)
    row("operator", "processor time of 56,000 calls a day, where they run", changes / 86400 * lookup("bench_config/start_cpu_at_this_size_s"), "cores", 0)
}

function write_table(table,    n, i, names, file) {
    file = tables "/" table ".table"
    print "| | one deployment | one in each region | bound | from |" >file
    print "| --- | --- | --- | --- | --- |" >file
    n = split(order[table], names, "\n")
    for (i = 1; i < n; i++) {
        printf "| %s | %s | %s | %s | %s |\n", names[i], cell[table, names[i], 1], cell[table, names[i], 0.25], bounds[table, names[i]], from[table, names[i]] >file
    }
    close(file)
}

{value[$1] = $2}

END {
    for (pass = 1; pass <= 2; pass++) {
        set_target(pass == 1 ? 1 : 0.25)
        traffic_rows()
        memory_rows()
        control_rows()
        change_rows()
        collector_rows()
        log_rows()
        list_rows()
        operator_rows()
    }
    for (table in order) {
        write_table(table)
    }
    for (name in value_used) {
        if (value_used[name] != "") {
            print name "=" value_used[name] >(tables "/used")
        }
    }
}
