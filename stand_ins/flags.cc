#include "stand_ins/flags.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port to listen on; port 0: chosen by the system");
DEFINE_string(records_file, "",
              "file that receives each change of the records as a JSON line, so that they can be "
              "read after the process was killed; empty: none");
DEFINE_string(vm_id, "vm", "id of the VM");
DEFINE_uint64(max_requests, 16, "limit of concurrent requests when the server is warm");

DEFINE_uint64(append_delay_ms, 0, "time before an append takes effect");
DEFINE_uint64(retain_records, 0, "records kept for each stream; 0: all");
DEFINE_uint64(appends_per_second, 0, "highest rate of appends, above which they wait; 0: no limit");

DEFINE_uint64(lag_ms, 0, "time until a change of the VM list becomes visible");

DEFINE_uint64(bytes_per_second, 100'000'000, "rate of the weight store, shared by all readers");
DEFINE_uint64(weight_bytes, 1'000'000, "size of the weights of one rank");

DEFINE_string(weight_store_address, "", "ip:port of the weight store; empty: loads take no time");
DEFINE_bool(checks_fencing, false, "refuse orders with an old fencing number");
DEFINE_uint64(load_bytes, 1'000'000, "bytes that the engine reads from the weight store");
DEFINE_uint64(cold_requests, 2, "requests that the engine can run right after a cold start");
DEFINE_uint64(warm_up_ms, 0, "time over which the request limit rises to --max_requests");
DEFINE_uint64(kv_tokens_limit, 65536, "limit of the KV cache tokens that the engine holds");
DEFINE_double(ms_per_token, 5, "generation time for one token");
DEFINE_uint64(report_lag_ms, 0, "age of the load fields in the status");

DEFINE_uint64(service_ms, 5, "time that one call of the plain service takes");

DEFINE_string(target, "", "ip:port that the proxy forwards to");

DEFINE_uint64(partitions, 4, "parts of each topic, which the store divides among the members");

DEFINE_uint64(duty_per_s, 50, "calls that the duty interface accepts a second");
DEFINE_uint64(lease_ms, 1000, "time within which the calls of two VMs must not alternate");

DEFINE_string(store_address, "", "ip:port of the platform's store");
DEFINE_string(service, "pool", "service that the runner belongs to");
DEFINE_string(failure_domain, "ifo", "failure domain of the runner");
DEFINE_string(fabric, "ifo-d0", "fabric domain of the runner");
DEFINE_bool(streams, true, "answer with streams of events, as a member of a group");
DEFINE_uint64(events, 10, "number of events in a stream");
