#include "sardinelead/reset.h"

#include "sardinelead/packet_writer.h"

namespace sardinelead {
namespace {

// RFC 9293, 3.10.7.1: if the segment has an ACK, the reset takes its sequence
// number from the ACK field; otherwise the reset acknowledges the whole
// segment.
TcpFields ResetFields(const PacketInfo& info) {
  TcpFields fields;
  if (info.kind == PacketKind::kTcpOpen) {
    fields.flags = kTcpRst | kTcpAck;
    fields.acknowledgment = info.tcp_sequence + info.payload_bytes + 1;
    return fields;
  }
  fields.flags = kTcpRst;
  fields.sequence = info.tcp_acknowledgment;
  return fields;
}

}  // namespace

Bytes BuildReset(const PacketInfo& info, ByteView packet) {
  switch (info.kind) {
    case PacketKind::kTcpOpen:
    case PacketKind::kTcpData:
    case PacketKind::kTcpClose:
      return WriteTcpPacket(info.key.service, info.key.caller,
                            ResetFields(info));
    case PacketKind::kUdp:
      return WritePortUnreachable(info.key.service.address,
                                  info.key.caller.address, packet);
    case PacketKind::kTcpReset:
    case PacketKind::kIcmpError:
      return {};
  }
  return {};
}

Bytes BuildReset(const FlowReset& reset) {
  if (reset.key.protocol != Protocol::kTcp) return {};
  TcpFields fields;
  fields.flags = kTcpRst | kTcpAck;
  fields.sequence = reset.sequence;
  fields.acknowledgment = reset.acknowledgment;
  return WriteTcpPacket(reset.key.service, reset.key.caller, fields);
}

}  // namespace sardinelead
