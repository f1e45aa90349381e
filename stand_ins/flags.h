#pragma once

#include <gflags/gflags.h>

// Command-line flags of all kinds of stand-ins. Section 7.3 of docs/design.md lists the flags that
// each kind reads.
DECLARE_string(listen);
DECLARE_string(records_file);
DECLARE_string(vm_id);
DECLARE_uint64(max_requests);

DECLARE_uint64(append_delay_ms);
DECLARE_uint64(retain_records);
DECLARE_uint64(appends_per_second);

DECLARE_uint64(lag_ms);

DECLARE_uint64(bytes_per_second);
DECLARE_uint64(weight_bytes);

DECLARE_string(weight_store_address);
DECLARE_bool(checks_fencing);
DECLARE_uint64(load_bytes);
DECLARE_uint64(cold_requests);
DECLARE_uint64(warm_up_ms);
DECLARE_uint64(kv_tokens_limit);
DECLARE_double(ms_per_token);
DECLARE_uint64(report_lag_ms);

DECLARE_uint64(service_ms);

DECLARE_string(target);

DECLARE_uint64(partitions);

DECLARE_uint64(duty_per_s);
DECLARE_uint64(lease_ms);

DECLARE_string(store_address);
DECLARE_string(service);
DECLARE_string(failure_domain);
DECLARE_string(fabric);
DECLARE_bool(streams);
DECLARE_uint64(events);
