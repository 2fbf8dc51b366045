#include "damasklink/protocol/ForwardingCodec.h"

#include <utility>

#include <Forwarding_generated.h>

#include "FlatBytes.h"

namespace damasklink {
namespace {

enum class FrameKind : std::uint8_t
{
  Call = 1,
  Decline = 2,
  Head = 3,
  Chunk = 4,
  End = 5,
  Cancel = 6,
};

using FieldRows = std::vector<std::unique_ptr<wire::HeaderFieldRowT>>;

FieldRows
RowsOf(const HttpFields& aFields)
{
  FieldRows rows;
  for (const HttpField& field : aFields.All()) {
    wire::HeaderFieldRowT& row = *rows.emplace_back(std::make_unique<wire::HeaderFieldRowT>());
    row.name = field.name;
    row.value = field.value;
  }
  return rows;
}

HttpFields
FieldsOf(const FieldRows& aRows)
{
  HttpFields fields;
  for (const auto& row : aRows) {
    fields.Add(row->name, row->value);
  }
  return fields;
}

std::vector<std::uint8_t>
BytesOf(const std::string& aText)
{
  return { aText.begin(), aText.end() };
}

std::string
TextOf(const std::vector<std::uint8_t>& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

// Converts each message to its wire format.
struct FrameFiller
{
  wire::ForwardingFrameT& frame;

  void operator()(const ForwardedCall& aCall) const
  {
    this->Begin(FrameKind::Call, aCall.number);
    this->frame.method = aCall.head.method;
    this->frame.path = aCall.head.target;
    this->frame.fields = RowsOf(aCall.head.fields);
    this->frame.bytes = BytesOf(aCall.body);
    this->frame.service = aCall.service.Value();
    this->frame.time_left_ms = internal::ToWireMilliseconds(aCall.timeLeft);
    this->frame.configuration = aCall.configuration.Value();
    this->frame.sends_left = static_cast<std::uint32_t>(aCall.sendsLeft);
    this->frame.has_last_event = aCall.lastEvent.has_value();
    this->frame.last_event = aCall.lastEvent.value_or(0);
    this->SetSoftware(aCall.software);
  }

  void operator()(const ForwardingDecline& aDecline) const
  {
    this->Begin(FrameKind::Decline, aDecline.number);
    this->frame.reason = static_cast<std::uint8_t>(aDecline.reason);
  }

  void operator()(const ForwardedHead& aHead) const
  {
    this->Begin(FrameKind::Head, aHead.number);
    this->frame.status = static_cast<std::uint16_t>(aHead.head.status);
    this->frame.fields = RowsOf(aHead.head.fields);
    this->frame.bytes = BytesOf(aHead.bytes);
    this->frame.whole = aHead.whole;
    this->SetSoftware(aHead.software);
  }

  void operator()(const ForwardedChunk& aChunk) const
  {
    this->Begin(FrameKind::Chunk, aChunk.number);
    this->frame.bytes = BytesOf(aChunk.bytes);
  }

  void operator()(const ForwardedEnd& aEnd) const
  {
    this->Begin(FrameKind::End, aEnd.number);
    this->frame.complete = aEnd.complete;
  }

  void operator()(const ForwardingCancel& aCancel) const
  {
    this->Begin(FrameKind::Cancel, aCancel.number);
  }

  void SetSoftware(const std::optional<SoftwareVersion>& aSoftware) const
  {
    this->frame.has_software = aSoftware.has_value();
    this->frame.software = aSoftware.value_or(SoftwareVersion()).Value();
  }

  void Begin(FrameKind aKind, CallNumber aNumber) const
  {
    this->frame.kind = static_cast<std::uint8_t>(aKind);
    this->frame.call = aNumber.Value();
  }
};

std::optional<SoftwareVersion>
ReadSoftware(const wire::ForwardingFrameT& aFrame)
{
  return aFrame.has_software ? std::optional(SoftwareVersion(aFrame.software)) : std::nullopt;
}

ForwardedCall
ReadCall(wire::ForwardingFrameT& aFrame)
{
  ForwardedCall call;
  call.number = CallNumber(aFrame.call);
  call.head.method = std::move(aFrame.method);
  call.head.target = std::move(aFrame.path);
  call.head.fields = FieldsOf(aFrame.fields);
  call.body = TextOf(aFrame.bytes);
  call.service = ServiceName(std::move(aFrame.service));
  call.timeLeft = std::chrono::milliseconds(aFrame.time_left_ms);
  call.configuration = Revision(aFrame.configuration);
  call.sendsLeft = aFrame.sends_left;
  if (aFrame.has_last_event) {
    call.lastEvent = aFrame.last_event;
  }
  call.software = ReadSoftware(aFrame);
  return call;
}

ForwardedHead
ReadHead(const wire::ForwardingFrameT& aFrame)
{
  ForwardedHead head;
  head.number = CallNumber(aFrame.call);
  head.head.status = aFrame.status;
  head.head.fields = FieldsOf(aFrame.fields);
  head.bytes = TextOf(aFrame.bytes);
  head.whole = aFrame.whole;
  head.software = ReadSoftware(aFrame);
  return head;
}

bool
IsKnownReason(std::uint8_t aReason)
{
  return aReason >= static_cast<std::uint8_t>(DeclineReason::Stopping) &&
         aReason <= static_cast<std::uint8_t>(DeclineReason::Unreachable);
}

} // namespace

std::string_view
DeclineReasonName(DeclineReason aReason)
{
  switch (aReason) {
    case DeclineReason::Stopping:
      return "stopping";
    case DeclineReason::OlderConfiguration:
      return "older_configuration";
    case DeclineReason::Overloaded:
      return "overloaded";
    case DeclineReason::Unreachable:
      return "unreachable";
  }
  return "unknown";
}

CallNumber
NumberOf(const ForwardingMessage& aMessage)
{
  return std::visit([](const auto& aAlternative) { return aAlternative.number; }, aMessage);
}

std::string
EncodeForwardingMessage(const ForwardingMessage& aMessage)
{
  wire::ForwardingFrameT frame;
  std::visit(FrameFiller{ frame }, aMessage);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::ForwardingFrame::Pack(builder, &frame));
  return internal::FinishedBytes(builder);
}

Result<ForwardingMessage>
DecodeForwardingMessage(std::string_view aBytes)
{
  const auto* root = internal::VerifiedRoot<wire::ForwardingFrame>(aBytes);
  if (root == nullptr) {
    return Fail(internal::UnreadableMessage());
  }
  wire::ForwardingFrameT frame;
  root->UnPackTo(&frame);
  const CallNumber number(frame.call);
  switch (static_cast<FrameKind>(frame.kind)) {
    case FrameKind::Call:
      return ForwardingMessage(ReadCall(frame));
    case FrameKind::Decline:
      if (!IsKnownReason(frame.reason)) {
        break;
      }
      return ForwardingMessage(
        ForwardingDecline{ number, static_cast<DeclineReason>(frame.reason) });
    case FrameKind::Head:
      return ForwardingMessage(ReadHead(frame));
    case FrameKind::Chunk:
      return ForwardingMessage(ForwardedChunk{ number, TextOf(frame.bytes) });
    case FrameKind::End:
      return ForwardingMessage(ForwardedEnd{ number, frame.complete });
    case FrameKind::Cancel:
      return ForwardingMessage(ForwardingCancel{ number });
  }
  return Fail(internal::UnreadableMessage());
}

} // namespace damasklink
