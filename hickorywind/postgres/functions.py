"""Names of SQL functions whose effect on data or on the session is known."""

from __future__ import annotations

# Words that may precede a parenthesis without being the name of a called function.
NON_FUNCTION_KEYWORDS = frozenset(
    "all and any as array between by case check coalesce cube distinct else end except exists "
    "filter from greatest group grouping having if in intersect is join lateral least like limit "
    "not null nullif offset on or order over partition rollup row select set sets similar some "
    "then union using values when where with within ilike escape materialized returning into "
    "cast extract position overlay substring trim treat interval timestamp timestamptz date time "
    "numeric decimal varchar char character bit float".split()
)

READ_ONLY_FUNCTIONS = frozenset(
    "abs age array_agg array_append array_cat array_length array_position array_remove "
    "array_to_string array_upper ascii avg bit_and bit_length bit_or bool_and bool_or btrim "
    "cardinality cbrt ceil ceiling char_length character_length chr concat concat_ws corr cos "
    "count cume_dist current_database current_schema current_setting current_user date_part "
    "date_trunc decode degrees dense_rank div encode every exp first_value floor format "
    "format_type generate_series generate_subscripts get_byte group_concat hex ifnull initcap "
    "instr json_agg json_array_elements json_build_array json_build_object json_extract "
    "json_object_agg jsonb_agg jsonb_array_elements jsonb_build_array jsonb_build_object "
    "jsonb_each jsonb_object_agg lag last_value lead left length ln log lower lpad ltrim "
    "make_date make_interval max md5 min mod mode now nth_value ntile num_nonnulls "
    "obj_description octet_length percent_rank percentile_cont percentile_disc pg_get_expr "
    "pg_sleep pg_table_is_visible pg_typeof pi power printf quote_ident quote_literal radians "
    "rank regexp_match regexp_matches regexp_replace regexp_split_to_array repeat replace reverse "
    "right round row_number row_to_json rpad rtrim sign sin split_part sqrt starts_with "
    "statement_timestamp stddev strftime string_agg string_to_array strpos substr sum "
    "tan to_char to_date to_hex to_json to_jsonb to_number to_timestamp total translate trunc "
    "unicode unnest upper var_pop var_samp variance version width_bucket".split()
)

# Functions that set or read the state of one backend connection.
SESSION_FUNCTIONS = frozenset("set_config currval lastval pg_notify pg_listening_channels".split())
SESSION_FUNCTION_PREFIXES = ("pg_advisory_", "pg_try_advisory_")
